package org.poplarshift.ports

/** The outcome of reading the list of VMs. */
sealed interface VmListResult {
    /** The VMs in the platform's list. */
    data class Vms(val vms: List<ListedVm>) : VmListResult

    /** There was no response, or it was not valid. */
    data class Unavailable(val reason: String) : VmListResult
}
