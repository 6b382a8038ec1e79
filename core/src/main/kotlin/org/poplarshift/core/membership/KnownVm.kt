package org.poplarshift.core.membership

/**
 * Another VM as seen by a node.
 *
 * @property incarnation the most recent known process of the VM, or null if only the platform's VM list contains the VM
 */
data class KnownVm(
    val vm: String,
    val incarnation: String?,
    val availabilityZone: String,
    val address: String,
    val condition: VmCondition,
)

/** The condition of a VM as seen by a node. */
enum class VmCondition {
    /** Heartbeats are being received. */
    LIVE,

    /** The VM completes its open requests and shuts down. */
    LEAVING,

    /** Heartbeats have stopped, because the VM has crashed, is paused or is partitioned. */
    LOST,

    /** The VM list or a join record contains the VM, but no heartbeat has been received yet. */
    NO_HEARTBEAT,
}
