package org.poplarshift.core.routing

/**
 * Applies a routing policy to the workers of the local availability zone, or to those of the other zones if no local
 * worker has room.
 */
class WorkerSelector(private val localZone: String, private val policy: RoutingPolicy) {
    /** Chooses among the usable workers [candidates], some of which may have no room. */
    fun select(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerSelection {
        if (candidates.isEmpty()) return WorkerSelection.NoWorker
        val withRoom = candidates.filter { it.hasRoom }
        if (withRoom.isEmpty()) return WorkerSelection.AllFull
        val local = withRoom.filter { it.zone == localZone }
        return WorkerSelection.Chosen(policy.choose(local.ifEmpty { withRoom }, prefix, nowMillis).worker)
    }
}
