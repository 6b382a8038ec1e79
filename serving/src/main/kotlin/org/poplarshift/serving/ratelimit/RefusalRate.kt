package org.poplarshift.serving.ratelimit

/** Counts the refused requests of one organisation over periods of one second. */
class RefusalRate {
    private var periodMillis = Long.MIN_VALUE / 2
    private var refused = 0
    private var previous = 0

    /** Refused requests in the current or the previous second, whichever has more. */
    val perSecond: Int
        get() = maxOf(refused, previous)

    /**
     * Records a refusal at [nowMillis]. Returns 0, or on the first refusal of a period the number to log: this one and
     * those since the last logged one.
     */
    fun onRefused(nowMillis: Long): Int {
        if (nowMillis - periodMillis < PERIOD_MILLIS) {
            refused++
            return 0
        }
        val isRecent = nowMillis - periodMillis < 2 * PERIOD_MILLIS
        val unreported = maxOf(0, refused - 1)
        previous = if (isRecent) refused else 0
        refused = 1
        periodMillis = nowMillis
        return unreported + 1
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
    }
}
