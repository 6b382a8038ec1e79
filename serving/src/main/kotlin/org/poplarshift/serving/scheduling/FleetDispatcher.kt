package org.poplarshift.serving.scheduling

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.RunObservation
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.SlotScheduler
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.core.dispatch.WorkerIncarnation
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.core.dispatch.ZoneCapacities
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.forward.AssignedSlot
import org.poplarshift.serving.forward.DispatchRequest
import org.poplarshift.serving.forward.DispatchResult
import org.poplarshift.serving.forward.Dispatcher
import org.poplarshift.serving.peer.PeerReachability

/**
 * Assigns the requests of this node to workers through the schedulers of the availability zones.
 *
 * A request first asks the scheduler of this node's zone, which may redirect it to another one. While no scheduler
 * responds, the node chooses among all workers by itself and knows only the load that it causes.
 *
 * @param workers all workers, with the requests of this node
 * @param regions the regions of the zones by the names of the zones
 * @param isRecorded returns whether the log states the software version of a service
 */
class FleetDispatcher(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val self: FleetMember,
    private val workers: LoadBalancer,
    private val directory: SchedulerDirectory,
    private val reachability: PeerReachability,
    private val connector: SchedulerConnector,
    private val tokenGate: TokenGate,
    private val regions: Map<String, String> = emptyMap(),
    isRecorded: (service: String, softwareVersion: String) -> Boolean,
) : Dispatcher {
    private val versionFilter = VersionFilter(workers, isRecorded)
    private val links = HashMap<Pair<String, String>, SchedulerLink>()
    private val ownSchedulers = HashMap<String, OwnScheduler>()
    private var lastNumber = 0L

    override val waiting: Int
        get() = links.values.sumOf { it.waiting } + ownSchedulers.values.sumOf { it.link.waiting }

    override fun describe(service: String): String {
        val available = workers.available(service)
        val own = available.sumOf { it.online + it.batch }
        return "workers=${available.size},slots=${available.sumOf { it.worker.slots }},own=$own,waiting=$waiting"
    }

    override fun hasWorker(service: String): Boolean = workers.hasWorker(service, excluded = emptySet())

    override suspend fun acquire(request: DispatchRequest): DispatchResult {
        val deadlineMillis = clock.millis() + request.waitMillis
        val excluded = HashSet(request.excludedWorkers)
        var zone = self.zone
        var hops = 0
        while (true) {
            excluded += versionFilter.excluded(request)
            if (!workers.hasWorker(request.service, excluded, excludedZones(request))) return DispatchResult.NoWorker
            val waitMillis = deadlineMillis - clock.millis()
            // The scheduler that redirects a request has taken the token.
            val needsToken = request.needsToken && hops == 0
            val message = message(request, excluded, waitMillis, mayRedirect = hops < MAXIMUM_HOPS, needsToken)
            when (val result = link(zone, request.service).acquire(message, waitMillis)) {
                is LinkResult.Granted -> {
                    use(zone, request, message.number, result)?.let { return DispatchResult.Assigned(it) }
                    excluded += result.worker
                }

                is LinkResult.Redirected -> {
                    hops++
                    // A scheduler of an earlier release doesn't know the excluded zones of a request.
                    if (result.zone in excludedZones(request)) hops = MAXIMUM_HOPS else zone = result.zone
                }

                is LinkResult.NoCapacity -> return DispatchResult.NoCapacity(result.retryMillis)
                is LinkResult.RateExceeded -> return DispatchResult.RateExceeded(result.retryMillis)
                LinkResult.NoWorker, LinkResult.Unavailable -> {
                    if (zone == self.zone) return acquireAlone(request, excluded, waitMillis, needsToken, result)
                    zone = self.zone
                    if (result == LinkResult.Unavailable) hops = MAXIMUM_HOPS
                }
            }
        }
    }

    override fun release(slot: AssignedSlot, outcome: SlotOutcome, run: RunObservation?) {
        if (slot.zone == null) {
            ownSchedulers.getValue(slot.service).link.release(slot.number, outcome, run)
        } else {
            slot.target.onEnded(slot.isBatch)
            link(slot.zone, slot.service).release(slot.number, outcome, run)
        }
    }

    override fun onRateLimit(slot: AssignedSlot, requestsPerSecond: Double?) {
        val worker = slot.target.worker.id
        if (slot.target.onRateLimit(requestsPerSecond, clock.millis())) {
            logger.atInfo {
                message = "dispatch: the rate limit of a worker has changed"
                payload = mapOf("worker" to worker, "requests_per_second" to requestsPerSecond)
            }
        }
        if (slot.zone == null || requestsPerSecond == slot.requestsPerSecond) return
        link(slot.zone, slot.service).reportRateLimit(worker, requestsPerSecond)
    }

    override fun onSlowness(slot: AssignedSlot, percent: Int) {
        if (!slot.target.work.onSlowness(percent, clock.millis()) || slot.zone == null) return
        link(slot.zone, slot.service).reportSlowness(slot.target.worker.id, percent)
    }

    override fun onLeaving(slot: AssignedSlot): Boolean {
        val worker = slot.target.worker
        if (!workers.markLeaving(worker.incarnation)) return false
        link(slot.zone ?: worker.zone, slot.service).reportLeaving(worker.incarnation)
        return true
    }

    /** Maintains the connections to the schedulers until cancelled. */
    suspend fun run() {
        while (true) {
            delay(MAINTENANCE_INTERVAL_MILLIS)
            links.values.forEach { it.maintain() }
            for (own in ownSchedulers.values) {
                own.link.maintain()
                own.scheduler.update(clock.millis())
                own.scheduler.sendAlive()
            }
        }
    }

    private suspend fun acquireAlone(
        request: DispatchRequest,
        excluded: Set<String>,
        waitMillis: Long,
        neededToken: Boolean,
        failure: LinkResult,
    ): DispatchResult {
        // A scheduler that has no worker has taken the token, one that does not respond has not.
        val needsToken = neededToken && failure == LinkResult.Unavailable
        val own = ownSchedulers.getOrPut(request.service) { OwnScheduler(request.service) }
        own.onRequest()
        val message = message(request, excluded, waitMillis, mayRedirect = false, needsToken)
        return when (val result = own.link.acquire(message, waitMillis)) {
            is LinkResult.Granted -> useAlone(own, request, message.number, result.worker)

            LinkResult.NoWorker, LinkResult.Unavailable -> DispatchResult.NoWorker
            is LinkResult.RateExceeded -> DispatchResult.RateExceeded(result.retryMillis)
            is LinkResult.NoCapacity -> DispatchResult.NoCapacity(result.retryMillis)
            is LinkResult.Redirected -> DispatchResult.NoCapacity()
        }
    }

    private fun useAlone(own: OwnScheduler, request: DispatchRequest, number: Long, worker: String): DispatchResult {
        val state = checkNotNull(workers.state(worker))
        if (!accepts(request, state)) {
            own.link.release(number, SlotOutcome.UNUSED)
            return DispatchResult.NoCapacity()
        }
        own.link.onUsed(request.toSlot(number, worker))
        return DispatchResult.Assigned(AssignedSlot(number, request.service, zone = null, state, request.use))
    }

    /** Takes over the granted slot, or returns it if this node can't use the worker. */
    private fun use(zone: String, request: DispatchRequest, number: Long, granted: LinkResult.Granted): AssignedSlot? {
        val worker = granted.worker
        val state = workers.state(worker)
        val link = link(zone, request.service)
        if (state == null || !state.isAvailable || !accepts(request, state)) {
            link.release(number, SlotOutcome.UNUSED)
            return null
        }
        link.onUsed(request.toSlot(number, worker))
        state.onSent(request.use != SlotUse.ONLINE)
        return AssignedSlot(number, request.service, zone, state, request.use, granted.requestsPerSecond)
    }

    // A worker may be registered, or registered anew with another version, while the request waits.
    private fun accepts(request: DispatchRequest, state: WorkerState): Boolean =
        state.worker.zone !in excludedZones(request) && versionFilter.accepts(request, state.worker)

    private fun DispatchRequest.toSlot(number: Long, worker: String) =
        UsedSlot(number, use, worker, onTimeUntilMillis, onPreempt, route, size, clock.millis())

    private fun message(
        request: DispatchRequest,
        excluded: Set<String>,
        waitMillis: Long,
        mayRedirect: Boolean,
        needsToken: Boolean,
    ) = NodeMessage.Acquire(
        number = ++lastNumber,
        use = request.use,
        priority = request.priority,
        onTimeInMillis = request.onTimeUntilMillis - clock.millis(),
        excludedWorkers = excluded + unavailable(request.service),
        excludedZones = excludedZones(request),
        mayRedirect = mayRedirect,
        organisation = request.organisation,
        needsToken = needsToken,
        route = request.route,
        size = request.size,
        waitInMillis = waitMillis,
    )

    // Schedulers may learn of an evacuation later than this node. Zones of an unknown region are in no allowed one.
    private fun excludedZones(request: DispatchRequest): Set<String> {
        val allowed = request.allowedRegions ?: return workers.evacuatedZones
        return (regions.keys + workers.zones).filter { regions[it] !in allowed }.toSet() + workers.evacuatedZones
    }

    // Schedulers know from the registry which workers are draining, and those of evacuated zones are excluded as zones.
    private fun unavailable(service: String): List<String> = workers.workerStates
        .filter { (it.isSuspect || it.isLeaving) && !it.isEvacuated && it.worker.service == service }
        .map { it.worker.id }

    private val statements = object : WorkerStatements {
        override val rateLimits: Map<String, Double>
            get() = workers.workerStates
                .mapNotNull { state -> state.requestsPerSecond?.let { state.worker.id to it } }
                .toMap()

        override fun leaving(service: String) = workers.leaving(service)

        override fun onLeaving(workers: List<WorkerIncarnation>) {
            val added = workers.filter { this@FleetDispatcher.workers.markLeaving(it) }
            if (added.isEmpty()) return
            logger.atInfo {
                message = "dispatch: workers have stated to another node that they leave"
                payload = mapOf("workers" to added.joinToString(",") { it.worker })
            }
        }
    }

    private fun link(zone: String, service: String): SchedulerLink = links.getOrPut(zone to service) {
        SchedulerLink(tasks, clock, self.name, service, connector, reachability, statements) {
            directory.preferred(zone, reachability)
        }
    }

    /** The scheduler that this node uses while no other responds. It schedules requests of this node only. */
    private inner class OwnScheduler(private val service: String) {
        val scheduler = SlotScheduler(service, workers, ZoneCapacities(), reports = null)
        val link = SchedulerLink(
            tasks,
            clock,
            self.name,
            service,
            { _, _, hello, receiver -> LocalSchedulerChannel(scheduler, tokenGate, hello, receiver) },
            PeerReachability(clock),
            WorkerStatements.None,
        ) { self }
        private var lastRequestMillis = Long.MIN_VALUE / 2

        /** Called before each request. What this node may send to workers with rate limits is not saved up meanwhile. */
        fun onRequest() {
            val now = clock.millis()
            if (now - lastRequestMillis > PACING_PAUSE_MILLIS) {
                workers.workerStates.forEach { it.restartPacing(now) }
                logger.atInfo {
                    message = "dispatch: this node assigns slots without a scheduler"
                    payload = mapOf("service" to service, "members" to directory.order(self.zone).size)
                }
            }
            lastRequestMillis = now
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Time without own decisions after which the schedulers have probably been in charge again.
        const val PACING_PAUSE_MILLIS = 2_000L

        // One redirection usually suffices. More of them show that the announced capacity is out of date.
        const val MAXIMUM_HOPS = 2
        const val MAINTENANCE_INTERVAL_MILLIS = 100L
    }
}
