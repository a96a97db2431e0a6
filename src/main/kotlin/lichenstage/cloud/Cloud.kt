package lichenstage.cloud

import lichenstage.model.MachineType

/** The operations of the cloud; tests replace it by a model in memory. */
interface Cloud {
    /** The machine types with their current prices. */
    suspend fun listMachineTypes(): CloudReply<List<MachineType>>

    /** Provisions machines. Idempotent: a repeated request of the same name gets the same machines. */
    suspend fun provision(request: ProvisionRequest): ProvisionResult

    /** Terminates machines, at most 100 in one call. Idempotent: unknown names are ignored. */
    suspend fun terminate(machines: List<String>): TerminateResult

    /** One page of the list of machines, of those whose names follow [after]; the first page where that is null. */
    suspend fun listMachines(after: String?): CloudReply<MachinePage>
}
