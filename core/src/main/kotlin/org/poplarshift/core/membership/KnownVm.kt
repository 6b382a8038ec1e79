package org.poplarshift.core.membership

/**
 * Another VM as a node sees it.
 *
 * @property incarnation the newest known process of the VM, or null when only the platform's list names it
 */
data class KnownVm(
    val vm: String,
    val incarnation: String?,
    val availabilityZone: String,
    val address: String,
    val condition: VmCondition,
)

/** What a node knows of a VM's condition. */
enum class VmCondition {
    /** Heartbeats arrive. */
    LIVE,

    /** The VM finishes its requests and goes. */
    LEAVING,

    /** Heartbeats have stopped: the VM is dead, paused or partitioned. */
    LOST,

    /** The list or a join names the VM, and no heartbeat has arrived yet. */
    NO_HEARTBEAT,
}
