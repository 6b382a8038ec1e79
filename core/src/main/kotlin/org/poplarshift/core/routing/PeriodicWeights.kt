package org.poplarshift.core.routing

/**
 * Distributes requests by smooth weighted round robin. The weights are recomputed once per period from the reported
 * load. Each period applies one explicit step of the heat equation: load flows from workers above the mean
 * utilisation to workers below it, in proportion to the difference.
 *
 * The idea and the period of 7 s come from H. Hong et al., "Optimization of Cloud Service Load Balancing Based on the
 * Solution of the Heat Conduction Equation" (2024).
 */
class PeriodicWeights(private val periodMillis: Long) : RoutingPolicy() {
    private val weights = mutableMapOf<String, Double>()
    private val credits = mutableMapOf<String, Double>()
    private var nextStepMillis = Long.MIN_VALUE

    override fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate {
        candidates.forEach { weights.getOrPut(it.worker) { it.capacity.toDouble() } }
        if (nowMillis >= nextStepMillis) step(candidates, nowMillis)
        val chosen = candidates.maxBy { credit(it) + weight(it) }
        val total = candidates.sumOf { weight(it) }
        candidates.forEach { credits[it.worker] = credit(it) + weight(it) }
        credits[chosen.worker] = credit(chosen) - total
        return chosen
    }

    private fun step(candidates: List<WorkerCandidate>, nowMillis: Long) {
        nextStepMillis = nowMillis + periodMillis
        weights.keys.retainAll(candidates.map { it.worker }.toSet())
        credits.keys.retainAll(weights.keys)
        val mean = candidates.sumOf { utilisation(it) } / candidates.size
        candidates.forEach { candidate ->
            val moved = weight(candidate) + DIFFUSION * candidate.capacity * (mean - utilisation(candidate))
            weights[candidate.worker] = moved.coerceIn(MINIMUM_SHARE * candidate.capacity, candidate.capacity * 1.0)
        }
    }

    private fun utilisation(candidate: WorkerCandidate): Double = candidate.reportedLoad.toDouble() / candidate.capacity

    private fun weight(candidate: WorkerCandidate): Double = weights.getValue(candidate.worker)

    private fun credit(candidate: WorkerCandidate): Double = credits[candidate.worker] ?: 0.0

    private companion object {
        // The explicit scheme oscillates with steps above 0.5.
        const val DIFFUSION = 0.5

        // Each worker keeps some traffic, so that its load report can show a recovery.
        const val MINIMUM_SHARE = 0.05
    }
}
