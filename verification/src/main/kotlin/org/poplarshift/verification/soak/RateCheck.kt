package org.poplarshift.verification.soak

/** Checks that the runs of an organisation stay within its rate and burst in every window. */
class RateCheck(private val ratePerSecond: Double, private val burst: Double) {
    /** Returns the largest number of runs in a window if it exceeds the limit, otherwise null. */
    fun excess(calls: List<SentCall>): Int? {
        val limit = (ratePerSecond * WINDOW_SECONDS + burst) * (1 + OVERAGE) + SLACK
        val arrivals = calls.mapNotNull { call -> call.runs.firstOrNull()?.let { call.sentMillis to it.startMillis } }
        return arrivals.maxOfOrNull { (windowStart, _) ->
            val windowEnd = windowStart + WINDOW_SECONDS * MILLIS_PER_SECOND
            arrivals.count { (sent, arrived) -> sent >= windowStart && arrived <= windowEnd }
        }?.takeIf { it > limit }
    }

    private companion object {
        const val WINDOW_SECONDS = 5
        const val MILLIS_PER_SECOND = 1_000
        const val OVERAGE = 0.1
        const val SLACK = 20
    }
}
