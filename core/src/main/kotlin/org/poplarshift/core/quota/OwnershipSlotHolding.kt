package org.poplarshift.core.quota

import org.poplarshift.core.ownership.OwnershipProtocol
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.ownership.VmIdentity

/** The slots according to the ownership protocol of this process. */
class OwnershipSlotHolding(private val identity: VmIdentity, private val protocol: OwnershipProtocol) : SlotHolding {
    override fun usable(nowMillis: Long): List<UsableSlot> = protocol.leases().mapNotNull { lease ->
        val remaining = lease.remainingMillis(nowMillis)
        if (remaining <= 0) return@mapNotNull null
        UsableSlot(lease.claim.slot, lease.claim.offset, lease.usableFromMillis, remaining)
    }

    override fun holder(slot: Slot): SlotHolder? {
        val claim = protocol.state.claims[slot] ?: return null
        if (claim.incarnation == identity.incarnation) return null
        return SlotHolder(claim.incarnation, claim.offset, slot.availabilityZone == identity.availabilityZone)
    }
}
