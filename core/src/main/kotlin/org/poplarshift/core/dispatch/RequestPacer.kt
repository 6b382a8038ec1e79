package org.poplarshift.core.dispatch

/**
 * Spaces the requests to a worker that limits their rate. Times are monotonic milliseconds.
 *
 * A pacer starts without tokens, because the requests that were sent before are not known.
 *
 * @param requestsPerSecond requests per second that the worker accepts from all nodes together
 * @param share returns the share of them that may be sent, 0 to 1
 * @param initialTokens 0, or a negative number, which delays the first request
 * @param keepMillis time after which an observer that uses a part of the limit loses a request that it could have sent,
 *   so that many of them do not save up requests and send them at the same time
 */
class RequestPacer(
    requestsPerSecond: Double,
    private val share: () -> Double,
    private var updatedMillis: Long,
    initialTokens: Double = 0.0,
    private val keepMillis: Long = Long.MAX_VALUE,
) {
    private val ratePerMilli = maxOf(requestsPerSecond, MINIMUM_RATE) / MILLIS_PER_SECOND
    private var tokens = initialTokens
    private var sendableMillis: Long? = null

    /** Number of requests that may be sent at once, which may have a fraction. */
    fun available(nowMillis: Long): Double {
        val elapsedMillis = (nowMillis - updatedMillis).coerceAtLeast(0)
        val currentShare = share()
        tokens = minOf(tokens + elapsedMillis * ratePerMilli * currentShare, maxOf(1.0, BURST * currentShare))
        updatedMillis = maxOf(updatedMillis, nowMillis)
        if (currentShare < 1.0) forgetUnused()
        return tokens
    }

    private fun forgetUnused() {
        val since = sendableMillis ?: updatedMillis
        sendableMillis = since.takeIf { tokens >= 1.0 }
        if (sendableMillis == null || updatedMillis - since <= keepMillis) return
        tokens -= 1.0
        sendableMillis = null
    }

    /** Records a request that is sent. */
    fun onSent(nowMillis: Long) {
        tokens = available(nowMillis) - 1.0
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        // A worker that accepts no requests can state the end of its limit only in a response.
        const val MINIMUM_RATE = 0.2

        // Lets a worker that had no requests for a while start two at the same time, with the whole limit.
        const val BURST = 2.0
    }
}
