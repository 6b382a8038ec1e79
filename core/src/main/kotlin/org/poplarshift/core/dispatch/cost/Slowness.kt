package org.poplarshift.core.dispatch.cost

/** How long work takes at a worker at present, as the worker states it. Times are monotonic milliseconds. */
class Slowness {
    /** Time that work takes, relative to the usual time; 1 when nothing else is known. */
    var factor = 1.0
        private set

    /** Time from which the work takes its usual time again unless the worker states otherwise. */
    var untilMillis = Long.MIN_VALUE / 2
        private set

    /** Records a statement of [percent] of the usual time. Returns whether this is a material change. */
    fun onStated(percent: Int, nowMillis: Long): Boolean {
        val previous = factorAt(nowMillis)
        val stated = (percent / PERCENT).coerceIn(1.0, MAXIMUM_FACTOR)
        // Within the same spell the time of its end is that of its first statement.
        if (isSlow(stated) == isSlow(previous) &&
            stated / previous in 1.0 / MATERIAL_RATIO..MATERIAL_RATIO
        ) {
            return false
        }
        factor = if (isSlow(stated)) stated else 1.0
        untilMillis = nowMillis + VALIDITY_MILLIS
        return true
    }

    /** Returns the time that work takes at [nowMillis], relative to the usual time. */
    fun factorAt(nowMillis: Long): Double = if (nowMillis < untilMillis) factor else 1.0

    /** Returns the time that work of [usualMillis] takes when it begins at [nowMillis]. */
    fun slowedMillis(usualMillis: Double, nowMillis: Long): Double {
        val current = factorAt(nowMillis)
        if (current <= 1.0) return usualMillis
        val leftMillis = (untilMillis - nowMillis).toDouble()
        val slowedMillis = usualMillis * current
        return if (slowedMillis <= leftMillis) slowedMillis else usualMillis + leftMillis * (1.0 - 1.0 / current)
    }

    private fun isSlow(factor: Double): Boolean = factor >= SLOW_FACTOR

    private companion object {
        const val PERCENT = 100.0
        const val MAXIMUM_FACTOR = 10.0

        // Smaller factors differ less from the usual time than the estimates do, and the figure changes many times a second.
        const val SLOW_FACTOR = 1.5

        // Ratio of two factors of one spell from which the difference is worth a message.
        const val MATERIAL_RATIO = 1.6

        // Length of a spell in which work takes longer.
        const val VALIDITY_MILLIS = 600L
    }
}
