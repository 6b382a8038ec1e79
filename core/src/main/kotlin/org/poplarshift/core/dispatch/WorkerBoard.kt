package org.poplarshift.core.dispatch

/**
 * The load of all workers as one node knows it, and the choice of a worker for the next request.
 *
 * The node's own requests are known exactly. Those of other nodes come from the load that a worker reports with its
 * answers; the estimate fades, because a report says little about the load some seconds later.
 *
 * @param ownZone preferred among workers of about the same load
 */
class WorkerBoard(private val ownZone: String, private val random: () -> Double = Math::random) {
    private val seats = HashMap<String, WorkerSeat>()
    private var workersByService = mapOf<String, List<WorkerSeat>>()

    /** All workers that may be known to others, draining ones included. */
    val workers: Collection<FleetWorker>
        get() = seats.values.map { it.worker }

    /** Replaces the registry's entries; what is known of workers that stay is kept. */
    fun update(workers: Collection<FleetWorker>) {
        val ids = workers.map { it.id }.toSet()
        seats.keys.retainAll(ids)
        for (worker in workers) {
            val known = seats[worker.id]
            if (known == null || known.worker.startedMillis != worker.startedMillis) {
                seats[worker.id] = WorkerSeat(worker)
            } else {
                known.worker = worker
            }
        }
        workersByService = seats.values.groupBy { it.worker.service }
    }

    /** Takes the numbers of requests of other nodes at each worker. */
    fun updatePeers(online: Map<String, Int>, batch: Map<String, Int>) {
        for ((id, seat) in seats) {
            seat.peersOnline = online[id] ?: 0
            seat.peersBatch = batch[id] ?: 0
        }
    }

    /** What is known of each worker. */
    val all: Collection<WorkerSeat>
        get() = seats.values

    /** Workers of [service] that take new requests. */
    fun available(service: String): List<WorkerSeat> =
        workersByService[service].orEmpty().filter { !it.worker.isDraining && !it.isSuspect }

    /**
     * The least loaded worker of [service] that has room, or null.
     *
     * @param headroom slots that the request leaves free; negative to let requests wait at the worker
     * @param excluded workers that the request has reached already
     */
    fun choose(service: String, headroom: Int, excluded: Set<String>, nowMillis: Long): WorkerSeat? = available(service)
        .filter { it.worker.id !in excluded && it.room(nowMillis) > headroom }
        .minByOrNull { rank(it, nowMillis) }

    /** Whether [service] has any worker that a request that has reached [excluded] could use once it has room. */
    fun hasWorker(service: String, excluded: Set<String>): Boolean =
        available(service).any { it.worker.id !in excluded }

    private fun rank(seat: WorkerSeat, nowMillis: Long): Double {
        val distance = if (seat.worker.zone == ownZone) 0.0 else OTHER_ZONE_REQUESTS
        return (seat.load(nowMillis) + distance + random() * TIE_REQUESTS) / maxOf(1, seat.worker.slots)
    }

    private companion object {
        // Requests by which a worker of another zone must be less loaded: a step of the engine slows down by less than
        // the delay between zones when one more request runs.
        const val OTHER_ZONE_REQUESTS = 0.6

        // Breaks ties differently on each node, which otherwise would all choose the same worker.
        const val TIE_REQUESTS = 0.9
    }
}
