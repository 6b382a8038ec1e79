package org.poplarshift.core.ownership

/**
 * The identity under which this process joins the stream `ownership`.
 *
 * @property incarnation unique for each start of the process
 */
data class VmIdentity(val vm: String, val incarnation: String, val availabilityZone: String, val peerAddress: String) {
    /** Returns the join record of this process. */
    fun joinRecord(): OwnershipRecord.VmJoined =
        OwnershipRecord.VmJoined(vm, incarnation, availabilityZone, peerAddress)
}
