package org.poplarshift.core.ownership

/**
 * This process, as it joins the stream `ownership`.
 *
 * @property incarnation unique for each start of the process
 */
data class VmIdentity(val vm: String, val incarnation: String, val availabilityZone: String, val peerAddress: String) {
    /** The record with which the process joins. */
    fun joinRecord(): OwnershipRecord.VmJoined =
        OwnershipRecord.VmJoined(vm, incarnation, availabilityZone, peerAddress)
}
