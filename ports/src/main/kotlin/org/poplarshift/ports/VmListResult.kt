package org.poplarshift.ports

/** The outcome of reading the list of VMs. */
sealed interface VmListResult {
    /** The VMs that the platform knows. */
    data class Vms(val vms: List<ListedVm>) : VmListResult

    /** The platform gave no answer. */
    data class Unavailable(val reason: String) : VmListResult
}
