package org.poplarshift.core.ownership

/**
 * The votes of one process on claims of other VMs of its zone. Votes are kept in memory only: a restarted process has a
 * new incarnation, which is in no electorate until a record of a holder includes it.
 */
class SlotVoter(private val incarnation: String, private val times: SlotTimes) {
    private val promised = mutableMapOf<Slot, Long>()
    private val requestedAtMillis = mutableMapOf<Slot, Long>()
    private var isClosed = false

    /** Stops confirming claims. Must be called before the process appends its end, which counts as a promise. */
    fun close() {
        isClosed = true
    }

    /** Confirms the claims of a holder according to the records that this process has read. */
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

    /**
     * Promises not to confirm a claim any more, unless its holder has recently requested a confirmation. The response
     * says whether such a promise exists.
     */
    fun promise(request: SlotPromiseRequest, nowMillis: Long): SlotPromiseResponse {
        val claim = request.claim
        val requestedAt = requestedAtMillis[claim.slot]
        val isHolderActive = requestedAt != null && nowMillis - requestedAt < times.promiseRefusalMillis
        if (!isHolderActive) promised[claim.slot] = maxOf(claim.version, promised[claim.slot] ?: claim.version)
        return SlotPromiseResponse(incarnation, claim, promised = isPromised(claim))
    }

    private fun isPromised(claim: SlotVersion): Boolean = (promised[claim.slot] ?: -1) >= claim.version

    /** A voter that lags in reading the log accepts a version that it has not read yet. */
    private fun isCurrent(state: OwnershipState, holder: String, claim: SlotVersion): Boolean {
        if (claim.version >= state.nextOffset) return true
        return state.claims[claim.slot]?.let { it.version == claim.version && it.incarnation == holder } ?: false
    }
}
