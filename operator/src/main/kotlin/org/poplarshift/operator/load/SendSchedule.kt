package org.poplarshift.operator.load

import java.util.Random
import kotlin.math.ln

/** Computes the send times of a stream. They depend only on the plan and its seed. */
class SendSchedule(private val plan: LoadPlan) {
    /** Returns the send times in ascending order, in nanoseconds after the start of the run. */
    fun sendTimes(stream: LoadStream, index: Int): List<Long> {
        val random = Random(plan.seed * SEED_FACTOR + index)
        val intervals = generateSequence { interArrivalSeconds(stream.ratePerSecond, random) }
        return intervals.runningFold(stream.startSeconds) { time, interval -> time + interval }
            .drop(1)
            .takeWhile { it < plan.durationSeconds }
            .map { (it * NANOS_PER_SECOND).toLong() }
            .toList()
    }

    private fun interArrivalSeconds(rate: Double, random: Random): Double = when (plan.arrivals) {
        ArrivalProcess.UNIFORM -> 1 / rate
        ArrivalProcess.POISSON -> -ln(1 - random.nextDouble()) / rate
    }

    private companion object {
        const val SEED_FACTOR = 1_000_003
        const val NANOS_PER_SECOND = 1e9
    }
}
