package org.poplarshift.core.ownership

/**
 * The votes of one process on claims of other VMs of its zone. The votes are kept in memory only: a restarted process
 * has another incarnation, which is in no electorate until a holder's record counts it.
 */
class SlotVoter(private val incarnation: String, private val times: SlotTimes) {
    private val promised = mutableMapOf<Slot, Long>()
    private val requestedAtMillis = mutableMapOf<Slot, Long>()
    private var isClosed = false

    /** Ends all confirmations; called before the process announces its end, which counts as a promise. */
    fun close() {
        isClosed = true
    }

    /** Confirms the claims of a holder, given what this process has read. */
    fun confirm(
        request: SlotConfirmRequest,
        state: OwnershipState,
        readStartedMillis: Long?,
        nowMillis: Long,
    ): SlotConfirmResponse {
        val current = request.claims.filter { !isClosed && isCurrent(state, request.holder, it) }
        current.forEach { requestedAtMillis[it.slot] = nowMillis }
        val inLog = request.claims.filter { claim ->
            state.claims[claim.slot]?.let { it.incarnation == request.holder && it.version == claim.version } ?: false
        }
        return SlotConfirmResponse(
            incarnation = incarnation,
            inLog = inLog,
            readAgeMillis = readStartedMillis?.let { nowMillis - it },
            notPromised = current.filterNot { isPromised(it) },
        )
    }

    /** Promises a slot away unless its holder was heard lately; returns whether the promise stands. */
    fun promise(request: SlotPromiseRequest, nowMillis: Long): SlotPromiseResponse {
        val claim = request.claim
        val requestedAt = requestedAtMillis[claim.slot]
        val isHolderActive = requestedAt != null && nowMillis - requestedAt < times.promiseRefusalMillis
        if (!isHolderActive) promised[claim.slot] = maxOf(claim.version, promised[claim.slot] ?: claim.version)
        return SlotPromiseResponse(incarnation, claim, promised = isPromised(claim))
    }

    private fun isPromised(claim: SlotVersion): Boolean = (promised[claim.slot] ?: -1) >= claim.version

    /** A voter that is behind in the log trusts a version that it has not read yet. */
    private fun isCurrent(state: OwnershipState, holder: String, claim: SlotVersion): Boolean {
        if (claim.version >= state.nextOffset) return true
        return state.claims[claim.slot]?.let { it.version == claim.version && it.incarnation == holder } ?: false
    }
}
