package lichenstage.cloud

import lichenstage.model.MachineType

/** The operations of the cloud provider. Tests use an in-memory implementation. */
interface Cloud {
    /** Returns the machine types with their current prices. */
    suspend fun listMachineTypes(): CloudReply<List<MachineType>>

    /** Provisions machines. Idempotent: a repeated request with the same name returns the same machines. */
    suspend fun provision(request: ProvisionRequest): ProvisionResult

    /** Terminates at most 100 machines. Idempotent: names that the cloud does not know are ignored. */
    suspend fun terminate(machines: List<String>): TerminateResult

    /** Returns one page of the list of machines: those whose names follow [after], or the first page if [after] is null. */
    suspend fun listMachines(after: String?): CloudReply<MachinePage>
}
