package org.poplarshift.core.dispatch

/**
 * The load of all workers as one node knows it, and the choice of a worker for the next request.
 *
 * The node's own requests are known exactly. Those of other nodes come from the load that a worker reports with its
 * answers; the estimate fades, because a report says little about the load some seconds later.
 *
 * @param ownZone preferred among workers of about the same load
 */
class LoadBalancer(private val ownZone: String, private val random: () -> Double = Math::random) {
    private val statesById = HashMap<String, WorkerState>()
    private var statesByService = mapOf<String, List<WorkerState>>()

    /** All workers that may be known to others, draining ones included. */
    val workers: Collection<FleetWorker>
        get() = statesById.values.map { it.worker }

    /** Replaces the registry's entries; what is known of workers that stay is kept. */
    fun update(workers: Collection<FleetWorker>) {
        val ids = workers.map { it.id }.toSet()
        statesById.keys.retainAll(ids)
        for (worker in workers) {
            val existing = statesById[worker.id]
            if (existing == null || existing.worker.startedMillis != worker.startedMillis) {
                statesById[worker.id] = WorkerState(worker)
            } else {
                existing.worker = worker
            }
        }
        statesByService = statesById.values.groupBy { it.worker.service }
    }

    /** Takes the numbers of requests of other nodes at each worker. */
    fun updatePeerRequests(online: Map<String, Int>, batch: Map<String, Int>) {
        for ((id, state) in statesById) {
            state.peersOnline = online[id] ?: 0
            state.peersBatch = batch[id] ?: 0
        }
    }

    /** What is known of each worker. */
    val workerStates: Collection<WorkerState>
        get() = statesById.values

    /** Workers of [service] that take new requests. */
    fun available(service: String): List<WorkerState> =
        statesByService[service].orEmpty().filter { !it.worker.isDraining && !it.isSuspect }

    /**
     * The least loaded worker of [service] that has room, or null.
     *
     * @param headroom slots that the request leaves free; negative to let requests wait at the worker
     * @param excluded workers that the request has reached already
     */
    fun choose(service: String, headroom: Int, excluded: Set<String>, nowMillis: Long): WorkerState? =
        available(service)
            .filter { it.worker.id !in excluded && it.freeSlots(nowMillis) > headroom }
            .minByOrNull { score(it, nowMillis) }

    /** Whether [service] has any worker that a request that has reached [excluded] could use once it has room. */
    fun hasWorker(service: String, excluded: Set<String>): Boolean =
        available(service).any { it.worker.id !in excluded }

    private fun score(state: WorkerState, nowMillis: Long): Double {
        val zonePenalty = if (state.worker.zone == ownZone) 0.0 else CROSS_ZONE_PENALTY
        return (state.load(nowMillis) + zonePenalty + random() * TIE_BREAK_RANGE) / maxOf(1, state.worker.slots)
    }

    private companion object {
        // Requests by which a worker of another zone must be less loaded: a step of the engine slows down by less than
        // the delay between zones when one more request runs.
        const val CROSS_ZONE_PENALTY = 0.6

        // Breaks ties differently on each node, which otherwise would all choose the same worker.
        const val TIE_BREAK_RANGE = 0.9
    }
}
