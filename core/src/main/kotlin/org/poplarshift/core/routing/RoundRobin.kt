package org.poplarshift.core.routing

/** Takes the workers in turn, whatever their load. This is the baseline that the other policies are measured against. */
class RoundRobin : RoutingPolicy() {
    private var lastWorker = ""

    override fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate {
        // The turn is kept as a name, because the list of usable workers changes between two calls.
        val next =
            candidates.filter { it.worker > lastWorker }.minByOrNull { it.worker } ?: candidates.minBy { it.worker }
        lastWorker = next.worker
        return next
    }
}
