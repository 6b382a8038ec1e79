package org.poplarshift.core.dispatch

/** Measures how much work the slots of a service do, from the online requests that have recently ended. */
internal class SlotTurnover {
    private val work = DecayingSum(WINDOW_MILLIS)
    private val heldMillis = DecayingSum(WINDOW_MILLIS)
    private val runs = DecayingSum(WINDOW_MILLIS)

    /** Records that a request with the expected [work] has held a slot for [heldMillis]. */
    fun onEnded(work: Double, heldMillis: Long, nowMillis: Long) {
        this.work.add(work, nowMillis)
        this.heldMillis.add(maxOf(1L, heldMillis).toDouble(), nowMillis)
        runs.add(1.0, nowMillis)
    }

    /** Returns the average time in milliseconds for which a request holds its slot, or null if too few have ended. */
    fun meanHeldMillis(nowMillis: Long): Double? {
        val count = runs.value(nowMillis)
        return if (count < MINIMUM_RUNS) null else heldMillis.value(nowMillis) / count
    }

    /** Returns the work that one slot does in a millisecond, or null if too few requests have ended. */
    fun workPerMilli(nowMillis: Long): Double? =
        if (runs.value(nowMillis) < MINIMUM_RUNS) null else work.value(nowMillis) / heldMillis.value(nowMillis)

    private companion object {
        // Longer than the times for which workers slow down (0.6 s), and short enough to follow a change of the load.
        const val WINDOW_MILLIS = 5_000.0

        // A smaller number gives an average that single long runs dominate.
        const val MINIMUM_RUNS = 8.0
    }
}
