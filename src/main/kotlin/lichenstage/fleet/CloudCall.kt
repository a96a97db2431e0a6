package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest

/** A call to the cloud that the fleet has decided on. */
sealed interface CloudCall {
    /** Provisions machines. */
    data class Provision(
        val request: ProvisionRequest,
    ) : CloudCall

    /** Terminates the named machines. */
    data class Terminate(
        val machines: List<String>,
    ) : CloudCall

    /** Reads the list of all machines. */
    data object ListAll : CloudCall
}
