package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest

/** The next call to the cloud. */
sealed interface CloudCall {
    /** Provision machines. */
    data class Provision(
        val request: ProvisionRequest,
    ) : CloudCall

    /** Terminate the named machines. */
    data class Terminate(
        val machines: List<String>,
    ) : CloudCall

    /** Read the list of all machines. */
    data object ListAll : CloudCall
}
