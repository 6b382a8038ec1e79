package org.poplarshift.core.orders

/**
 * Decides when the holder of an upstream's slot may send orders, and limits loads to the rate of the weight store.
 *
 * An engine that checks fencing tokens rejects late orders of a former issuer. For other engines, a new issuer waits
 * until the former issuer's lease and the longest order that the former issuer can have sent have ended.
 *
 * @param checksFencing whether the upstream's engines check fencing tokens
 * @param formerLeaseMillis the maximum time for which a former holder may still act as the holder of the slot
 */
class OrderIssuer(
    private val settings: OrderSettings,
    private val checksFencing: Boolean,
    private val formerLeaseMillis: Long,
) {
    private var token: Long? = null
    private var notBeforeMillis = 0L
    private var nextReservationMillis = 0L

    /** Handles the slot claim at the offset [fencingToken]. [isFirst] is true if the slot never had a holder. */
    fun onSlotGained(fencingToken: Long, isFirst: Boolean, nowMillis: Long) {
        token = fencingToken
        val wait = if (checksFencing || isFirst) 0 else formerLeaseMillis + settings.longestOrderMillis
        notBeforeMillis = nowMillis + wait
    }

    /** Handles the loss of the slot. */
    fun onSlotLost() {
        token = null
    }

    /** Handles a rate limit response of the weight store. */
    fun onRateLimited(retryAfterMillis: Long, nowMillis: Long) {
        nextReservationMillis = nowMillis + retryAfterMillis
    }

    /** Decides how to proceed with the change [planned]. Each load requires a reservation from the weight store. */
    fun decide(planned: OrderedWorker, isReserved: Boolean, nowMillis: Long): IssueDecision {
        val fencingToken = token ?: return IssueDecision.NotIssuer
        if (nowMillis < notBeforeMillis) return IssueDecision.WaitUntil(notBeforeMillis)
        if (isReserved) return send(planned, fencingToken, nowMillis)
        if (nowMillis < nextReservationMillis) return IssueDecision.WaitUntil(nextReservationMillis)
        return IssueDecision.Reserve(planned)
    }

    // The next change waits until this worker can serve again, so that orders affect one worker at a time.
    private fun send(planned: OrderedWorker, fencingToken: Long, nowMillis: Long): IssueDecision {
        notBeforeMillis = nowMillis + settings.coldStartMillis
        return IssueDecision.Send(Order(planned.id, planned.desired, fencingToken))
    }
}
