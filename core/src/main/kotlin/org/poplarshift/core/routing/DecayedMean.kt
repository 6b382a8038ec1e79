package org.poplarshift.core.routing

import kotlin.math.exp

/**
 * A mean of durations that forgets old values: a value loses its weight with the time constant [timeConstantMillis],
 * and without new values the mean falls, so that a worker that was slow is tried again.
 */
class DecayedMean(private val timeConstantMillis: Double = 10_000.0) {
    private var mean = 0.0
    private var updatedMillis = Long.MIN_VALUE

    /** Adds a value. */
    fun add(valueMillis: Long, nowMillis: Long) {
        val old = if (updatedMillis == Long.MIN_VALUE) 0.0 else decay(nowMillis)
        // A new value counts at least a fifth, since several in the same millisecond would otherwise not count.
        val weight = minOf(old, 1 - MINIMUM_WEIGHT)
        mean = weight * mean + (1 - weight) * valueMillis
        updatedMillis = nowMillis
    }

    /** The mean at [nowMillis], or 0 when there was no value. */
    fun value(nowMillis: Long): Double = if (updatedMillis == Long.MIN_VALUE) 0.0 else mean * decay(nowMillis)

    private fun decay(nowMillis: Long): Double = exp(-(nowMillis - updatedMillis) / timeConstantMillis)

    private companion object {
        const val MINIMUM_WEIGHT = 0.2
    }
}
