package org.poplarshift.core.ownership

import org.poplarshift.core.ownership.OwnershipRecord.SlotClaimed
import org.poplarshift.core.ownership.OwnershipRecord.SlotReaffirmed
import org.poplarshift.core.ownership.OwnershipRecord.SlotReleased
import org.poplarshift.core.ownership.OwnershipRecord.VmJoined
import org.poplarshift.core.ownership.OwnershipRecord.VmLeft

/**
 * Applies records of the stream `ownership` in the order of their offsets. The result depends only on the records, so
 * all nodes reject the same invalid records.
 */
class OwnershipReducer {
    /** Applies the record at [offset]; an invalid record only advances the next offset. */
    fun apply(state: OwnershipState, offset: Long, record: OwnershipRecord): OwnershipState {
        if (offset < state.nextOffset) return state
        val changed = when (record) {
            is VmJoined -> join(state, offset, record)
            is VmLeft -> markEnded(state, offset) { it.incarnation == record.incarnation }
            is SlotClaimed -> claim(state, offset, record)
            is SlotReleased -> release(state, record)
            is SlotReaffirmed -> record.claims.fold(state) { result, claim -> reaffirm(result, offset, record, claim) }
        }
        return changed.copy(nextOffset = offset + 1)
    }

    private fun join(state: OwnershipState, offset: Long, record: VmJoined): OwnershipState {
        if (record.incarnation in state.members) return state
        val withoutPrior = markEnded(state, offset) { it.peerAddress == record.peerAddress }
        val member = Member(
            vm = record.vm,
            incarnation = record.incarnation,
            availabilityZone = record.availabilityZone,
            peerAddress = record.peerAddress,
            joinedAt = offset,
        )
        return withoutPrior.copy(members = withoutPrior.members + (record.incarnation to member))
    }

    private fun markEnded(state: OwnershipState, offset: Long, isEnded: (Member) -> Boolean): OwnershipState {
        val ended = state.members.filterValues { it.endedAt == null && isEnded(it) }
        return state.copy(members = state.members + ended.mapValues { (_, member) -> member.copy(endedAt = offset) })
    }

    private fun claim(state: OwnershipState, offset: Long, record: SlotClaimed): OwnershipState {
        val claimant = state.members[record.incarnation] ?: return state
        val isEligible = claimant.endedAt == null && claimant.availabilityZone == record.slot.availabilityZone
        if (!isEligible || !isValidSuccessor(state, record)) return state
        val claim = SlotClaim(
            slot = record.slot,
            incarnation = record.incarnation,
            offset = offset,
            version = offset,
            knownThrough = record.knownThrough,
            wait = requiredWait(state, record),
        )
        return state.copy(claims = state.claims + (record.slot to claim), released = state.released - record.slot)
    }

    /**
     * A claim whose last record is older than the first record the claimant could read counts as absent for every
     * reader. A reader that has not read the superseded claim accepts the new claim if the claimant had read all the
     * records that this reader is missing.
     */
    private fun isValidSuccessor(state: OwnershipState, record: SlotClaimed): Boolean {
        val inForce = state.claims[record.slot]
        if (inForce == null) return record.knownThrough >= state.firstOffset - 1
        val supersedes = record.supersedes ?: return inForce.version < record.knownFrom
        return supersedes == inForce.version
    }

    private fun requiredWait(state: OwnershipState, record: SlotClaimed): ClaimWait {
        val inForce = state.claims[record.slot]
        return when {
            inForce == null && record.supersedes == null ->
                if (record.slot in state.released || record.knownFrom == 0L) ClaimWait.NONE else ClaimWait.ISOLATION

            inForce == null || record.supersedes == null || !record.promised -> ClaimWait.ISOLATION

            inForce.wait == ClaimWait.ISOLATION -> ClaimWait.ISOLATION

            else -> ClaimWait.LEASE
        }
    }

    private fun release(state: OwnershipState, record: SlotReleased): OwnershipState {
        if (state.claims[record.slot]?.incarnation != record.incarnation) return state
        return state.copy(claims = state.claims - record.slot, released = state.released + record.slot)
    }

    private fun reaffirm(
        state: OwnershipState,
        offset: Long,
        record: SlotReaffirmed,
        reaffirmed: ReaffirmedClaim,
    ): OwnershipState {
        val inForce = state.claims[reaffirmed.slot] ?: reconstructClaim(state, record, reaffirmed) ?: return state
        if (inForce.offset != reaffirmed.offset || inForce.incarnation != record.incarnation) return state
        val wait = if (reaffirmed.inUse) ClaimWait.NONE else inForce.wait
        val claim = inForce.copy(version = offset, knownThrough = record.knownThrough, wait = wait)
        return state.copy(claims = state.claims + (reaffirmed.slot to claim))
    }

    /** The log's retention may have dropped the claim itself before this reader started. */
    private fun reconstructClaim(
        state: OwnershipState,
        record: SlotReaffirmed,
        reaffirmed: ReaffirmedClaim,
    ): SlotClaim? {
        val hasReadMissingRecords = record.knownThrough >= state.firstOffset - 1
        if (reaffirmed.offset >= state.firstOffset || !hasReadMissingRecords) return null
        return SlotClaim(
            slot = reaffirmed.slot,
            incarnation = record.incarnation,
            offset = reaffirmed.offset,
            version = reaffirmed.offset,
            knownThrough = record.knownThrough,
            wait = ClaimWait.ISOLATION,
        )
    }
}
