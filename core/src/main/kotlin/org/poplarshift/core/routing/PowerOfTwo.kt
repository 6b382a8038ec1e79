package org.poplarshift.core.routing

import kotlin.random.Random

/**
 * Draws two workers at random and chooses the one with the lower expected wait, which is the utilisation times the
 * decayed time to first byte. The random draw prevents all nodes from choosing the same worker after a load report.
 */
class PowerOfTwo(private val random: Random) : RoutingPolicy() {
    override fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate {
        if (candidates.size == 1) return candidates.single()
        val first = random.nextInt(candidates.size)
        val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
        return minOf(candidates[first], candidates[second], compareBy { expectedWait(it) })
    }

    private fun expectedWait(candidate: WorkerCandidate): Double =
        (candidate.load + 1.0) / candidate.capacity * maxOf(candidate.firstByteMillis, MINIMUM_FIRST_BYTE_MILLIS)

    private companion object {
        // Prevents a worker without measurements, or with a few very fast responses, from attracting all requests.
        const val MINIMUM_FIRST_BYTE_MILLIS = 20.0
    }
}
