package org.poplarshift.core.ownership

import org.poplarshift.core.ownership.OwnershipRecord.SlotClaimed

/** Decides which slots of its zone a process claims: free slots, and slots whose holder is absent. */
class SlotClaimant(private val identity: VmIdentity, private val times: SlotTimes) {
    private val takeovers = mutableMapOf<Slot, SlotTakeover>()
    private var pending: PendingClaim? = null
    private val freeSinceMillis = mutableMapOf<Slot, Long>()

    /**
     * Returns the records to append and the requests to send.
     *
     * @param slots the number of slots of the zone
     * @param listedAddresses peer addresses in the platform's VM list, or null when the list is unavailable
     */
    fun step(state: OwnershipState, slots: Int, listedAddresses: Set<String>?, nowMillis: Long): List<SlotAction> {
        if (!state.isLive(identity.incarnation)) return emptyList()
        val present = state.liveMembers(identity.availabilityZone).filter { isPresent(it, listedAddresses) }
        return (0 until slots).flatMap { index ->
            val slot = Slot(identity.availabilityZone, index)
            val claim = state.claims[slot]
            val holder = claim?.let { state.members[it.incarnation] }
            when {
                claim == null -> claimFree(state, slot, present, nowMillis)
                claim.incarnation == identity.incarnation -> clearProgress(slot)
                holder != null && isPresent(holder, listedAddresses) -> clearProgress(slot)
                else -> takeOver(state, claim, present, nowMillis)
            }
        }
    }

    /** Handles the response of a voter. */
    fun onPromiseResponse(response: SlotPromiseResponse, nowMillis: Long) {
        takeovers[response.claim.slot]?.onPromiseResponse(response, nowMillis)
    }

    /** When the VM list is unavailable, a member counts as present until the log shows that it has ended. */
    private fun isPresent(member: Member, listedAddresses: Set<String>?): Boolean =
        member.endedAt == null && (listedAddresses == null || member.peerAddress in listedAddresses)

    private fun clearProgress(slot: Slot): List<SlotAction> {
        takeovers.remove(slot)
        freeSinceMillis.remove(slot)
        return emptyList()
    }

    private fun claimFree(
        state: OwnershipState,
        slot: Slot,
        present: List<Member>,
        nowMillis: Long,
    ): List<SlotAction> {
        takeovers.remove(slot)
        val freeMillis = nowMillis - freeSinceMillis.getOrPut(slot) { nowMillis }
        if (freeMillis < claimDelayMillis(state, slot, present) || isClaimPending(state, nowMillis)) return emptyList()
        return append(state, slot, supersedes = null, promised = false, nowMillis)
    }

    private fun takeOver(
        state: OwnershipState,
        claim: SlotClaim,
        present: List<Member>,
        nowMillis: Long,
    ): List<SlotAction> {
        val slot = claim.slot
        val lostMillis = nowMillis - freeSinceMillis.getOrPut(slot) { nowMillis }
        if (lostMillis < claimDelayMillis(state, slot, present) || isClaimPending(state, nowMillis)) return emptyList()
        val takeover = takeovers[slot]?.takeIf { it.claim.version == claim.version }
            ?: SlotTakeover(claim, nowMillis).also { takeovers[slot] = it }
        return when (takeover.decide(state, times, nowMillis)) {
            TakeoverDecision.CLAIM_WITH_MAJORITY -> append(state, slot, claim.version, promised = true, nowMillis)
            TakeoverDecision.CLAIM_WITHOUT_MAJORITY -> append(state, slot, claim.version, promised = false, nowMillis)
            TakeoverDecision.REQUEST_PROMISES -> requestPromises(takeover, takeover.pendingVoters(state))
            TakeoverDecision.CONTACT_HOLDER ->
                requestPromises(takeover, listOfNotNull(state.members[claim.incarnation]))
        }
    }

    private fun requestPromises(takeover: SlotTakeover, voters: List<Member>): List<SlotAction> {
        val version = SlotVersion(takeover.claim.slot, takeover.claim.version)
        return voters.map { SlotAction.Promise(it, SlotPromiseRequest(identity.incarnation, version)) }
    }

    /**
     * Members that hold fewer slots claim earlier, one [CLAIM_INTERVAL_MILLIS] after another, so that the slots spread
     * over the VMs.
     */
    private fun claimDelayMillis(state: OwnershipState, slot: Slot, present: List<Member>): Long {
        val held = state.claims.values.groupingBy { it.incarnation }.eachCount()
        val order = present.sortedWith(
            compareBy({ held[it.incarnation] ?: 0 }, { (it.incarnation + slot.index).hashCode() }),
        )
        return order.indexOfFirst { it.incarnation == identity.incarnation }.coerceAtLeast(0) * CLAIM_INTERVAL_MILLIS
    }

    /** Allows one claim at a time, so that the first process of a zone doesn't claim all slots before others join. */
    private fun isClaimPending(state: OwnershipState, nowMillis: Long): Boolean {
        val claim = pending ?: return false
        val isDecided = (state.claims[claim.slot]?.offset ?: -1) > claim.knownThrough
        return !isDecided && nowMillis - claim.sentMillis < times.claimRetryMillis
    }

    private fun append(
        state: OwnershipState,
        slot: Slot,
        supersedes: Long?,
        promised: Boolean,
        nowMillis: Long,
    ): List<SlotAction> {
        pending = PendingClaim(slot, nowMillis, knownThrough = state.nextOffset - 1)
        val record = SlotClaimed(
            slot = slot,
            incarnation = identity.incarnation,
            supersedes = supersedes,
            knownThrough = state.nextOffset - 1,
            knownFrom = state.firstOffset,
            promised = promised,
        )
        return listOf(SlotAction.Append(record))
    }

    private data class PendingClaim(val slot: Slot, val sentMillis: Long, val knownThrough: Long)

    private companion object {
        /** Longer than it takes to append a record and for the other members to read it. */
        const val CLAIM_INTERVAL_MILLIS = 500L
    }
}
