package org.poplarshift.core.ownership

import org.poplarshift.core.ownership.OwnershipRecord.SlotReaffirmed

/** Decides when a process appends its join record and reaffirms its claims. */
class SlotReaffirmation(private val identity: VmIdentity, private val times: SlotTimes) {
    private var joinedAtMillis: Long? = null
    private var reaffirmedAtMillis: Long? = null

    /** Returns the records that are due now. */
    fun step(state: OwnershipState, leases: Collection<SlotLease>, nowMillis: Long): List<SlotAction> {
        val records = mutableListOf<OwnershipRecord>()
        if (isJoinDue(state, nowMillis)) {
            joinedAtMillis = nowMillis
            records += identity.joinRecord()
        }
        if (leases.isNotEmpty() && isReaffirmationDue(state, leases, nowMillis)) {
            reaffirmedAtMillis = nowMillis
            records += SlotReaffirmed(
                incarnation = identity.incarnation,
                claims = leases.map { ReaffirmedClaim(it.claim.slot, it.claim.offset, it.isUsable(nowMillis)) },
                knownThrough = state.nextOffset - 1,
            )
        }
        return records.map { SlotAction.Append(it) }
    }

    private fun isJoinDue(state: OwnershipState, nowMillis: Long): Boolean {
        val joinedAt = joinedAtMillis ?: return true
        val interval = if (state.isLive(identity.incarnation)) times.reaffirmMillis else times.claimRetryMillis
        return nowMillis - joinedAt >= interval
    }

    /** A member that joined after a claim is not in its electorate until the claim is reaffirmed. */
    private fun isReaffirmationDue(state: OwnershipState, leases: Collection<SlotLease>, nowMillis: Long): Boolean {
        val last = reaffirmedAtMillis ?: leases.minOf { it.usableFromMillis }
        if (nowMillis - last >= times.reaffirmMillis) return true
        val isRecent = reaffirmedAtMillis?.let { nowMillis - it < times.claimRetryMillis } ?: false
        if (isRecent) return false
        val claims = leases.mapNotNull { state.claims[it.claim.slot] }
        val hasJoined = state.liveMembers(identity.availabilityZone).any { member ->
            claims.any { member.joinedAt > it.knownThrough }
        }
        val isIsolationOver = leases.any { lease ->
            state.claims[lease.claim.slot]?.wait == ClaimWait.ISOLATION && lease.isUsable(nowMillis)
        }
        return hasJoined || isIsolationOver
    }
}
