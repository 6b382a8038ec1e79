package org.poplarshift.core.ownership

/**
 * An attempt, begun at [startedMillis], to take over the slot of [claim] from a holder that appears to be absent. The
 * holder is contacted first, because the platform's VM list lags: a holder that still responds keeps its slot.
 */
class SlotTakeover(val claim: SlotClaim, val startedMillis: Long) {
    private val promisedBy = mutableSetOf<String>()
    private var refusedMillis: Long = startedMillis
    private var holderRespondedMillis: Long = startedMillis

    /** Handles the response of a voter. */
    fun onPromiseResponse(response: SlotPromiseResponse, nowMillis: Long) {
        if (response.claim.version != claim.version) return
        if (response.incarnation == claim.incarnation) holderRespondedMillis = nowMillis
        if (response.promised) promisedBy += response.incarnation else refusedMillis = nowMillis
    }

    /** Returns the next step of the takeover. */
    fun decide(state: OwnershipState, times: SlotTimes, nowMillis: Long): TakeoverDecision {
        val hasHolderTimedOut = nowMillis - holderRespondedMillis >= times.holderTimeoutMillis
        if (state.isLive(claim.incarnation) && !hasHolderTimedOut) return TakeoverDecision.CONTACT_HOLDER
        if (state.isPromised(claim, promisedBy)) return TakeoverDecision.CLAIM_WITH_MAJORITY
        val hasPromiseTimedOut = nowMillis - refusedMillis >= times.promiseTimeoutMillis
        return if (hasPromiseTimedOut) TakeoverDecision.CLAIM_WITHOUT_MAJORITY else TakeoverDecision.REQUEST_PROMISES
    }

    /** The live voters that have not promised yet, including the holder. */
    fun pendingVoters(state: OwnershipState): List<Member> = (state.electorate(claim) + claim.incarnation)
        .filter { it !in promisedBy && state.isLive(it) }
        .mapNotNull { state.members[it] }
}

/** The next step of a takeover. */
enum class TakeoverDecision {
    /** The holder has not timed out yet; contact it again. */
    CONTACT_HOLDER,

    /** More promises are needed; send requests to the voters. */
    REQUEST_PROMISES,

    /** A majority has promised; append the claim. */
    CLAIM_WITH_MAJORITY,

    /** No majority can be reached; append a claim that takes effect only after the isolation limit. */
    CLAIM_WITHOUT_MAJORITY,
}
