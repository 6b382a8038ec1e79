package org.poplarshift.core.routing

/** Chooses the workers in turn, regardless of load. This is the baseline for measurements of the other policies. */
class RoundRobin : RoutingPolicy() {
    private var lastWorker = ""

    override fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate {
        // The position is stored as a worker name, because the list of usable workers can change between calls.
        val next =
            candidates.filter { it.worker > lastWorker }.minByOrNull { it.worker } ?: candidates.minBy { it.worker }
        lastWorker = next.worker
        return next
    }
}
