package org.poplarshift.operator.load

import java.util.Random
import kotlin.math.ln

/** Computes the send times of a stream. */
class SendSchedule(private val plan: LoadPlan) {
    /** The times in nanoseconds from the start of the run, in order. */
    fun times(stream: LoadStream, index: Int): List<Long> {
        val random = Random(plan.seed * SEED_FACTOR + index)
        val gaps = generateSequence { gapSeconds(stream.ratePerSecond, random) }
        return gaps.runningFold(stream.startSeconds) { time, gap -> time + gap }
            .drop(1)
            .takeWhile { it < plan.durationSeconds }
            .map { (it * NANOS_PER_SECOND).toLong() }
            .toList()
    }

    private fun gapSeconds(rate: Double, random: Random): Double = when (plan.arrivals) {
        Arrivals.UNIFORM -> 1 / rate
        Arrivals.POISSON -> -ln(1 - random.nextDouble()) / rate
    }

    private companion object {
        const val SEED_FACTOR = 1_000_003
        const val NANOS_PER_SECOND = 1e9
    }
}
