package org.poplarshift.core.ownership

/**
 * The attempt to take over [claim] from a holder that seems to be gone, begun at [startedMillis]. The holder itself is
 * asked first, since the platform's list lags: a holder that still answers keeps its slot.
 */
class SlotTakeover(val claim: SlotClaim, val startedMillis: Long) {
    private val promisedBy = mutableSetOf<String>()
    private var refusedMillis: Long = startedMillis
    private var holderRespondedMillis: Long = startedMillis

    /** Takes a voter's answer. */
    fun onPromiseResponse(response: SlotPromiseResponse, nowMillis: Long) {
        if (response.claim.version != claim.version) return
        if (response.incarnation == claim.incarnation) holderRespondedMillis = nowMillis
        if (response.promised) promisedBy += response.incarnation else refusedMillis = nowMillis
    }

    /** What is known at [nowMillis]. */
    fun decide(state: OwnershipState, times: SlotTimes, nowMillis: Long): TakeoverDecision {
        val hasHolderTimedOut = nowMillis - holderRespondedMillis >= times.holderTimeoutMillis
        if (state.isLive(claim.incarnation) && !hasHolderTimedOut) return TakeoverDecision.CONTACT_HOLDER
        if (state.isPromised(claim, promisedBy)) return TakeoverDecision.CLAIM_WITH_MAJORITY
        val hasPromiseTimedOut = nowMillis - refusedMillis >= times.promiseTimeoutMillis
        return if (hasPromiseTimedOut) TakeoverDecision.CLAIM_WITHOUT_MAJORITY else TakeoverDecision.REQUEST_PROMISES
    }

    /** The living voters that have not promised yet, and the holder. */
    fun pendingVoters(state: OwnershipState): List<Member> = (state.electorate(claim) + claim.incarnation)
        .filter { it !in promisedBy && state.isLive(it) }
        .mapNotNull { state.members[it] }
}

/** How a takeover goes on. */
enum class TakeoverDecision {
    /** The holder has not been silent for long enough. */
    CONTACT_HOLDER,

    /** More promises are needed. */
    REQUEST_PROMISES,

    /** A majority has promised. */
    CLAIM_WITH_MAJORITY,

    /** A majority can't be reached; the claim counts only after the isolation limit. */
    CLAIM_WITHOUT_MAJORITY,
}
