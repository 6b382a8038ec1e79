package org.poplarshift.core.orders

/**
 * Decides when the holder of an upstream's slot may send orders, and spaces loads by the weight store.
 *
 * An engine that checks fencing tokens rejects a former issuer's late order. For one that doesn't, a new issuer waits
 * until the former issuer's lease has ended and the longest order that it can have sent has ended as well.
 *
 * @param checksFencing whether the upstream's engines check fencing tokens
 * @param formerLeaseMillis the longest time for which a former holder may still believe that it holds the slot
 */
class OrderIssuer(
    private val settings: OrderSettings,
    private val checksFencing: Boolean,
    private val formerLeaseMillis: Long,
) {
    private var token: Long? = null
    private var notBeforeMillis = 0L
    private var nextReservationMillis = 0L

    /** Takes the slot claim with the offset [fencingToken]; [isFirst] tells that the slot never had a holder. */
    fun onSlotGained(fencingToken: Long, isFirst: Boolean, nowMillis: Long) {
        token = fencingToken
        val wait = if (checksFencing || isFirst) 0 else formerLeaseMillis + settings.longestOrderMillis
        notBeforeMillis = nowMillis + wait
    }

    /** Takes the loss of the slot. */
    fun onSlotLost() {
        token = null
    }

    /** Takes that the weight store asks to wait. */
    fun onRateLimited(retryAfterMillis: Long, nowMillis: Long) {
        nextReservationMillis = nowMillis + retryAfterMillis
    }

    /** What to do with the planned change [planned]. A reservation of the weight store is needed for each load. */
    fun decide(planned: OrderedWorker, isReserved: Boolean, nowMillis: Long): IssueDecision {
        val fencingToken = token ?: return IssueDecision.NotIssuer
        if (nowMillis < notBeforeMillis) return IssueDecision.WaitUntil(notBeforeMillis)
        if (isReserved) return send(planned, fencingToken, nowMillis)
        if (nowMillis < nextReservationMillis) return IssueDecision.WaitUntil(nextReservationMillis)
        return IssueDecision.Reserve(planned)
    }

    // The next change waits until this worker can serve again, so that orders take one worker at a time.
    private fun send(planned: OrderedWorker, fencingToken: Long, nowMillis: Long): IssueDecision {
        notBeforeMillis = nowMillis + settings.coldStartMillis
        return IssueDecision.Send(Order(planned.id, planned.desired, fencingToken))
    }
}
