package org.poplarshift.core.routing

import kotlin.random.Random

/**
 * Draws two workers at random and takes the one with the lower expected wait: load per capacity times the decayed time
 * to first byte. Two random draws avoid that all nodes send to the same worker after the same load report.
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
        // Keeps a worker without measurements, or with a few very fast ones, from drawing all requests.
        const val MINIMUM_FIRST_BYTE_MILLIS = 20.0
    }
}
