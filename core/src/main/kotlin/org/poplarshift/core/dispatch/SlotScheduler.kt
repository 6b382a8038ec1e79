package org.poplarshift.core.dispatch

/**
 * Schedules the slots of one service in one availability zone for all nodes of the fleet.
 *
 * One node of each zone runs the scheduler of a service. It keeps no state that has to last: nodes state the slots that
 * they use when they connect, and the slots of a node that is silent expire. A node that can't reach the scheduler
 * chooses workers by itself, so that two schedulers, or none, cost some waiting at the workers and nothing else.
 *
 * @param workers the workers of the zone
 * @param capacities the capacities of the other zones
 * @param reports decides which workers receive no requests, or null if the owner of [workers] does
 * @param weight returns the weight of an organisation, or of requests without one
 * @param work returns the expected work of a request in milliseconds of a slot
 */
class SlotScheduler(
    private val service: String,
    private val workers: LoadBalancer,
    private val capacities: ZoneCapacities,
    private val reports: WorkerReports? = WorkerReports(),
    weight: (String?) -> Double = { 1.0 },
    work: (SlotRequest) -> Double = { 1.0 },
) {
    /** A connection to a node. */
    interface NodeConnection {
        /** Sends [message] without waiting. */
        fun send(message: SchedulerMessage)

        /** Closes the connection, so that the node connects again and states the slots that it uses. */
        fun close()
    }

    private class Session(val connection: NodeConnection?, var heardMillis: Long)

    private val queue = SlotQueue(service, workers, weight, work)
    private val sessions = HashMap<String, Session>()

    /** Whether any node is connected. */
    val isInUse: Boolean
        get() = sessions.isNotEmpty()

    /** Returns the capacity that is left. */
    fun capacity(nowMillis: Long): ServiceCapacity = queue.capacity(nowMillis)

    /** Figures about the waiting requests. */
    fun statistics(nowMillis: Long): SlotQueueStatistics = queue.statistics(nowMillis)

    /** Handles the [connection] of a node, which replaces an earlier one. */
    fun onConnected(hello: NodeMessage.Hello, nowMillis: Long, connection: NodeConnection) {
        val node = hello.node
        removeNode(node)
        sessions[node] = Session(connection, nowMillis)
        for (slot in hello.leases) {
            adopt(node, slot, nowMillis)
        }
        // What this scheduler knows already is newer.
        hello.rateLimits.forEach { (worker, limit) ->
            workers.state(worker)?.takeIf { it.requestsPerSecond == null }?.onRateLimit(limit, nowMillis)
        }
        onLeaving(hello.leaving)
        val unknown = workers.leavingWorkers - hello.leaving.toSet()
        if (unknown.isNotEmpty()) send(node, SchedulerMessage.Leaving(unknown.toList()))
    }

    /** Handles the loss of [connection]. The slots of the node stay in use until they expire. */
    fun onDisconnected(node: String, connection: NodeConnection) {
        val session = sessions[node] ?: return
        if (session.connection !== connection) return
        sessions[node] = Session(connection = null, session.heardMillis)
        queue.waiting.filter { it.key.node == node }.forEach { queue.release(it.key) }
    }

    /** Handles [message] of the connected [node]. */
    fun onMessage(node: String, message: NodeMessage, nowMillis: Long) {
        sessions[node]?.heardMillis = nowMillis
        when (message) {
            is NodeMessage.Acquire -> onAcquire(node, message, nowMillis)
            is NodeMessage.Release -> onRelease(SlotKey(node, message.number), message, nowMillis)
            is NodeMessage.RateLimit -> workers.state(message.worker)?.onRateLimit(message.requestsPerSecond, nowMillis)
            is NodeMessage.Leaving -> onLeaving(listOf(message.worker))
            is NodeMessage.WorkerSlowness -> workers.state(message.worker)?.work?.onSlowness(message.percent, nowMillis)
            is NodeMessage.Hello, NodeMessage.Alive -> Unit
        }
    }

    /** The registered workers of this zone that leave. */
    val leaving: List<WorkerIncarnation>
        get() = workers.leaving(service)

    /** Records that [stated] leave, in this zone or another one, and tells all connected nodes what they don't know. */
    fun onLeaving(stated: Collection<WorkerIncarnation>) {
        val added = stated.filter { workers.markLeaving(it) }
        if (added.isNotEmpty()) sessions.keys.toList().forEach { send(it, SchedulerMessage.Leaving(added)) }
    }

    /** Applies changes of the workers and of other zones. Called in regular intervals and after such changes. */
    fun update(nowMillis: Long) {
        expireNodes(nowMillis)
        reports?.readmissible(nowMillis)?.forEach { workers.state(it)?.onReachable() }
        if (workers.available(service).isEmpty()) redirectAll(nowMillis)
        dispatch(nowMillis)
        redirectWaiting(SlotUse.ONLINE, nowMillis)
        redirectWaiting(SlotUse.BATCH, nowMillis)
    }

    /** Tells the nodes whose requests wait that the scheduler is alive. */
    fun sendAlive() = queue.waiting.map { it.key.node }.toSet().forEach { send(it, SchedulerMessage.Alive) }

    private fun onAcquire(node: String, message: NodeMessage.Acquire, nowMillis: Long) {
        val request = SlotRequest(
            key = SlotKey(node, message.number),
            use = message.use,
            priority = message.priority,
            onTimeUntilMillis = nowMillis + message.onTimeInMillis,
            excludedWorkers = message.excludedWorkers + workers.idsIn(message.excludedZones, service),
            mayRedirect = message.mayRedirect,
            organisation = message.organisation,
            route = message.route,
            size = message.size,
            waitUntilMillis = message.waitInMillis?.let { nowMillis + it },
            excludedZones = message.excludedZones,
        )
        when (val decision = queue.submit(request, nowMillis)) {
            is SlotDecision.Granted -> send(node, decision.toMessage(message.number))
            SlotDecision.Queued -> onQueued(request, nowMillis)
            SlotDecision.NoWorker -> onNoWorker(request, nowMillis)
        }
    }

    private fun onQueued(request: SlotRequest, nowMillis: Long) {
        val preemptions = queue.selectPreemptions(nowMillis)
        val zone = if (request.mayRedirect && preemptions.isEmpty()) {
            capacities.choose(request.use, nowMillis, request.excludedZones)
        } else {
            null
        }
        if (zone != null) {
            queue.release(request.key)
            send(request.key.node, SchedulerMessage.Redirected(request.key.number, zone))
        } else {
            val retryMillis = if (preemptions.isEmpty()) refuse(request, nowMillis) else null
            val number = request.key.number
            send(
                request.key.node,
                retryMillis?.let { SchedulerMessage.Refused(number, it) } ?: SchedulerMessage.Queued(number),
            )
        }
        sendPreemptions(preemptions)
        // Requests ahead of it may exclude the workers with free slots.
        if (queue.hasFreeSlot(nowMillis)) dispatch(nowMillis)
    }

    private fun refuse(request: SlotRequest, nowMillis: Long): Long? =
        if (capacities.hasRoom(request.use, nowMillis)) null else queue.refuse(request.key, nowMillis)

    private fun onNoWorker(request: SlotRequest, nowMillis: Long) {
        val zone = if (request.mayRedirect) capacities.chooseAny(nowMillis, request.excludedZones) else null
        val number = request.key.number
        val reply = if (zone == null) SchedulerMessage.NoWorker(number) else SchedulerMessage.Redirected(number, zone)
        send(request.key.node, reply)
    }

    private fun adopt(node: String, slot: HeldSlot, nowMillis: Long) {
        val key = SlotKey(node, slot.number)
        val lease = SlotLease(key, slot.use, slot.worker, nowMillis + slot.onTimeInMillis)
        queue.adopt(lease)
        val state = workers.state(slot.worker) ?: return
        val request = SlotRequest(key, slot.use, 0, lease.onTimeUntilMillis, route = slot.route, size = slot.size)
        workers.costs.onStarted(request, state, nowMillis, maxOf(1, slot.usedMillis))
    }

    private fun onRelease(key: SlotKey, release: NodeMessage.Release, nowMillis: Long) {
        if (queue.abandon(key, nowMillis)) return
        release.run?.let { workers.costs.onObserved(key, it, nowMillis) }
        val lease = queue.release(key, completedMillis = nowMillis.takeIf { release.outcome == SlotOutcome.USED })
        if (lease != null) report(key.node, lease.worker, release.outcome, nowMillis)
        dispatch(nowMillis)
    }

    private fun report(node: String, worker: String, outcome: SlotOutcome, nowMillis: Long) {
        val state = workers.state(worker) ?: return
        when (outcome) {
            SlotOutcome.USED -> reports?.onUsed(worker)
            SlotOutcome.FULL -> state.onFull(nowMillis)
            SlotOutcome.UNUSED -> Unit
            SlotOutcome.UNREACHABLE -> {
                val isEjected = reports?.onUnreachable(worker, node, sessions.size, nowMillis) == true
                if (isEjected && workers.mayEject(state)) state.onUnreachable()
            }
        }
    }

    private fun dispatch(nowMillis: Long) {
        for (event in queue.dispatch(nowMillis)) {
            when (val decision = event.decision) {
                is SlotDecision.Granted -> send(event.key.node, decision.toMessage(event.key.number))
                SlotDecision.NoWorker -> send(event.key.node, SchedulerMessage.NoWorker(event.key.number))
                SlotDecision.Queued -> Unit
            }
        }
        sendPreemptions(queue.selectPreemptions(nowMillis))
    }

    private fun SlotDecision.Granted.toMessage(number: Long) =
        SchedulerMessage.Granted(number, worker, requestsPerSecond)

    // Requests that wait when the zone is evacuated would be refused as soon as they are dispatched.
    private fun redirectAll(nowMillis: Long) = queue.waiting.filter { it.mayRedirect }.forEach {
        queue.release(it.key)
        onNoWorker(it, nowMillis)
    }

    private fun redirectWaiting(use: SlotUse, nowMillis: Long) {
        val unsuitable = HashSet<String>()
        while (queue.waiting.any { it.use == use && it.mayRedirect }) {
            val zone = capacities.choose(use, nowMillis, unsuitable) ?: return
            val request = queue.takeRedirectable(use, maximum = 1, nowMillis, zone).firstOrNull()
            if (request == null) {
                unsuitable += zone
            } else {
                send(request.key.node, SchedulerMessage.Redirected(request.key.number, zone))
            }
        }
    }

    // Nodes without slots have no reason to send messages and stay connected.
    private fun expireNodes(nowMillis: Long) {
        val silent = sessions.filterValues { nowMillis - it.heardMillis > EXPIRY_MILLIS }
        if (silent.isEmpty()) return
        val using = queue.leases.map { it.key.node }.toSet()
        for ((node, session) in silent) {
            if (node !in using && session.connection != null) continue
            removeNode(node)
            session.connection?.close()
        }
    }

    private fun removeNode(node: String) {
        sessions.remove(node) ?: return
        val keys = queue.leases.map { it.key } + queue.waiting.map { it.key }
        keys.filter { it.node == node }.forEach { queue.release(it) }
    }

    private fun sendPreemptions(keys: List<SlotKey>) =
        keys.forEach { send(it.node, SchedulerMessage.Preempted(it.number)) }

    private fun send(node: String, message: SchedulerMessage) {
        sessions[node]?.connection?.send(message)
    }

    companion object {
        /** Interval in milliseconds at which a node with slots in use sends a message at the latest. */
        const val ALIVE_INTERVAL_MILLIS = 1_000L

        // A node that is silent for this long has stopped or is cut off. Its requests at the workers have ended or will
        // end soon, because the workers notice that their connections are closed.
        private const val EXPIRY_MILLIS = 3_200L
    }
}
