package org.poplarshift.core.routing

import kotlin.math.exp

/**
 * An exponentially decayed mean of durations. The weight of a value decays with the time constant [timeConstantMillis].
 * Without new values the mean decays towards 0, so that a slow worker is eventually tried again.
 */
class DecayedMean(private val timeConstantMillis: Double = 10_000.0) {
    private var mean = 0.0
    private var updatedMillis = Long.MIN_VALUE

    /** Adds a value at the monotonic time [nowMillis]. */
    fun add(valueMillis: Long, nowMillis: Long) {
        val old = if (updatedMillis == Long.MIN_VALUE) 0.0 else decay(nowMillis)
        // A new value has a weight of at least 0.2. Otherwise, several values in one millisecond would not count.
        val weight = minOf(old, 1 - MINIMUM_WEIGHT)
        mean = weight * mean + (1 - weight) * valueMillis
        updatedMillis = nowMillis
    }

    /** Returns the decayed mean at [nowMillis], or 0 if no value was added. */
    fun value(nowMillis: Long): Double = if (updatedMillis == Long.MIN_VALUE) 0.0 else mean * decay(nowMillis)

    private fun decay(nowMillis: Long): Double = exp(-(nowMillis - updatedMillis) / timeConstantMillis)

    private companion object {
        const val MINIMUM_WEIGHT = 0.2
    }
}
