package org.poplarshift.core.dispatch.cost

import kotlin.math.exp

/**
 * A mean of samples whose weights fade with time and with newer samples. Times are monotonic milliseconds.
 *
 * A sample that is far from the mean counts as one at the distance [maximumDeviation], so that a single wrong sample
 * changes little and a lasting change is followed.
 */
internal class FadingMean(private val maximumDeviation: Double) {
    private var mean = 0.0
    private var weight = 0.0
    private var updatedMillis = 0L

    /** Returns the mean, which approaches [prior] without recent samples. */
    fun value(prior: Double, nowMillis: Long): Double {
        if (weight == 0.0) return prior
        val current = weightAt(nowMillis)
        return (mean * current + prior * PRIOR_WEIGHT) / (current + PRIOR_WEIGHT)
    }

    /** Adds [sample], which is compared with the mean or [prior]. An inexact sample has a [sampleWeight] below 1. */
    fun add(sample: Double, prior: Double, nowMillis: Long, sampleWeight: Double = 1.0) {
        val expected = value(prior, nowMillis)
        val clipped = sample.coerceIn(expected - maximumDeviation, expected + maximumDeviation)
        val previous = minOf(weightAt(nowMillis), MAXIMUM_WEIGHT)
        mean = (mean * previous + clipped * sampleWeight) / (previous + sampleWeight)
        weight = previous + sampleWeight
        updatedMillis = maxOf(updatedMillis, nowMillis)
    }

    /** Sum of the weights of the samples; 0 without any. */
    fun weightAt(nowMillis: Long): Double =
        if (weight == 0.0) 0.0 else weight * exp(-(nowMillis - updatedMillis).coerceAtLeast(0) / FADE_MILLIS)

    private companion object {
        // Weight of the prior in samples. Small, because the first observed run of a worker shows its speed already.
        const val PRIOR_WEIGHT = 0.5

        // A mean follows a lasting change within about this number of samples.
        const val MAXIMUM_WEIGHT = 10.0

        // A worker that had no requests for some minutes may have changed its speed.
        const val FADE_MILLIS = 120_000.0
    }
}
