package org.poplarshift.core.dispatch

/**
 * Decides whether a request is refused because it can't get a slot in time, and when its caller may retry.
 *
 * A refusal is final and an estimate is not exact, so a request is refused only if the estimate clearly exceeds the time
 * for which it can wait.
 */
internal class RefusalPolicy {
    private var spread = 0.0

    /** Returns the expected wait in milliseconds above which a request that can wait for [allowedMillis] is refused. */
    fun limitMillis(allowedMillis: Long): Double = maxOf(0L, allowedMillis) * CLEAR_EXCESS + ESTIMATE_ERROR_MILLIS

    /**
     * Returns the time in milliseconds after which the caller of a refused request may retry.
     *
     * Successive values are spread over the [expectedMillis] that the queue needs, so that the callers that were refused
     * together do not return together.
     */
    fun retryMillis(expectedMillis: Double, allowedMillis: Long): Long {
        // Multiples of the golden ratio, modulo one, are spread evenly, whatever their number.
        spread = (spread + GOLDEN_RATIO) % 1.0
        val queueMillis = minOf(expectedMillis, MAXIMUM_QUEUE_MILLIS)
        val untilRoomMillis = maxOf(MINIMUM_RETRY_MILLIS, queueMillis - allowedMillis)
        return (untilRoomMillis + spread * queueMillis).toLong()
    }

    companion object {
        /**
         * Factor by which an estimate must exceed the available time. The share of the released slots that go to a
         * request varies from second to second with the order of arrivals.
         */
        const val CLEAR_EXCESS = 1.5

        // Releases come in groups, so that short waits can't be estimated more precisely.
        private const val ESTIMATE_ERROR_MILLIS = 200
        private const val GOLDEN_RATIO = 0.618034

        // Callers that retry sooner only add load.
        private const val MINIMUM_RETRY_MILLIS = 500.0

        // The load changes within seconds, so that estimates say nothing about a more distant time.
        private const val MAXIMUM_QUEUE_MILLIS = 15_000.0
    }
}
