package org.poplarshift.serving.scheduling

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.RateLimitShares
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.ServiceCapacity
import org.poplarshift.core.dispatch.SlotQueueStatistics
import org.poplarshift.core.dispatch.SlotScheduler
import org.poplarshift.core.dispatch.WorkerIncarnation
import org.poplarshift.core.dispatch.WorkerRouting
import org.poplarshift.core.dispatch.ZoneCapacities
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerReachability
import org.poplarshift.serving.peer.PeerServer
import org.poplarshift.serving.peer.PeerSocket
import org.poplarshift.serving.ratelimit.BalanceRequest
import org.poplarshift.serving.ratelimit.BalanceResponse

/**
 * Runs the schedulers that this node has been asked to run, and announces their capacity and their leaving workers to the other zones.
 *
 * Any node runs the scheduler of a service as soon as another node connects to it.
 *
 * @param weight returns the weight of an organisation in the queues for slots
 */
class SchedulerHost(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val self: FleetMember,
    private val directory: SchedulerDirectory,
    private val client: PeerClient,
    private val reachability: PeerReachability,
    private val tokenGate: TokenGate,
    private val weight: (String?) -> Double = { 1.0 },
    private val coldLimit: (service: String) -> Double? = { null },
    private val routing: WorkerRouting = WorkerRouting.COST,
    private val memoryTokens: (String) -> Long? = { null },
) {
    @Serializable
    private data class Announcement(
        val zone: String,
        val service: String,
        val capacity: ServiceCapacity,
        val leaving: List<WorkerIncarnation> = emptyList(),
        val balance: List<BalanceRequest> = emptyList(),
    )

    // A node of an earlier release responds with an empty text.
    @Serializable
    private data class AnnouncementResponse(val balance: List<BalanceResponse> = emptyList())

    private class HostedScheduler(val workers: LoadBalancer, val scheduler: SlotScheduler) {
        var announced: ServiceCapacity? = null
        var announcedLeaving = emptyList<WorkerIncarnation>()
        var announcedMillis = Long.MIN_VALUE / 2
        var aliveMillis = Long.MIN_VALUE / 2
    }

    private val hosted = HashMap<String, HostedScheduler>()
    private val capacities = HashMap<String, ZoneCapacities>()
    private val rateLimiter = tokenGate.rateLimiter
    private var balancedMillis = Long.MIN_VALUE / 2
    private var zoneWorkers = mapOf<String, List<FleetWorker>>()
    private var evacuatedZones = emptySet<String>()

    /** The workers of each scheduler that runs here, by the service. */
    val workersByService: Map<String, LoadBalancer>
        get() = hosted.mapValues { it.value.workers }

    /** Registers the handlers for schedulers and announcements at [server]. */
    fun serve(server: PeerServer) {
        server.onSocket(SOCKET_PATH) { service, socket -> accept(service, socket) }
        server.on(CAPACITY_PATH) { body ->
            PeerMessages.decode(Announcement.serializer(), body, COMPONENT)?.let { announcement ->
                capacitiesOf(announcement.service)
                    .onAnnouncement(announcement.zone, announcement.capacity, clock.millis())
                hosted[announcement.service]?.scheduler?.onLeaving(announcement.leaving)
                respond(announcement)
            }
        }
    }

    private fun respond(announcement: Announcement): String {
        if (announcement.balance.isEmpty()) return ""
        val response = AnnouncementResponse(rateLimiter.lendBalance(announcement.balance))
        return Json.encodeToString(AnnouncementResponse.serializer(), response)
    }

    /** Replaces the registered workers. */
    fun update(workers: Collection<FleetWorker>) {
        zoneWorkers = workers.filter { it.zone == self.zone }.groupBy { it.service }
        for ((service, entry) in hosted) {
            entry.workers.update(zoneWorkers[service].orEmpty())
            entry.scheduler.update(clock.millis())
        }
    }

    /** Replaces the zones whose workers get no new requests. */
    fun evacuate(zones: Set<String>) {
        evacuatedZones = zones
        for (entry in hosted.values) {
            entry.workers.evacuate(zones, clock.millis())
            entry.scheduler.update(clock.millis())
        }
    }

    /** Connects this node to its own scheduler of [service]. */
    fun connectLocally(service: String, hello: NodeMessage.Hello, receiver: SchedulerReceiver): SchedulerChannel =
        LocalSchedulerChannel(schedulerOf(service).scheduler, tokenGate, hello, receiver)

    /** Figures about the requests that wait at the schedulers of this node. */
    val statistics: SlotQueueStatistics
        get() = hosted.values.map { it.scheduler.statistics(clock.millis()) }.let { all ->
            SlotQueueStatistics(
                flows = all.sumOf { it.flows },
                longestWaitMillis = all.maxOfOrNull { it.longestWaitMillis } ?: 0,
                refusals = all.sumOf { it.refusals },
            )
        }

    /** Updates the schedulers and announces their capacity until cancelled. */
    suspend fun run() {
        while (true) {
            delay(UPDATE_INTERVAL_MILLIS)
            val now = clock.millis()
            if (directory.isFirst(self)) zoneWorkers.keys.forEach { schedulerOf(it) }
            hosted.forEach { (service, entry) -> maintain(service, entry, now) }
        }
    }

    private fun maintain(service: String, entry: HostedScheduler, now: Long) {
        val isInUse = entry.scheduler.isInUse
        if (isInUse) entry.scheduler.update(now)
        if (isInUse && now - entry.aliveMillis >= ALIVE_INTERVAL_MILLIS) {
            entry.aliveMillis = now
            entry.scheduler.sendAlive()
        }
        if (isInUse || directory.isFirst(self)) announce(service, entry, now)
    }

    private fun announce(service: String, entry: HostedScheduler, now: Long) {
        val capacity = entry.scheduler.capacity(now)
        val isDue = now - entry.announcedMillis >= REPEAT_INTERVAL_MILLIS
        val leaving = entry.scheduler.leaving
        if (!isDue && !differs(entry.announced, capacity) && leaving == entry.announcedLeaving) return
        entry.announcedLeaving = leaving
        entry.announced = capacity
        entry.announcedMillis = now
        val announcement = Announcement(self.zone, service, capacity, leaving, balanceRequests(now))
        val body = Json.encodeToString(Announcement.serializer(), announcement)
        for (zone in directory.otherZones(self.zone)) {
            val target = directory.preferred(zone, reachability) ?: continue
            tasks.launchOnce("capacity announcement", onFailed = { reachability.onFailure(target.name) }) {
                val response = client.post(target, CAPACITY_PATH, body, ANNOUNCEMENT_TIMEOUT_MILLIS)
                if (response == null) reachability.onFailure(target.name) else onResponse(target.name, response, now)
            }
        }
    }

    // The announcements of several services are sent at about the same time.
    private fun balanceRequests(now: Long): List<BalanceRequest> {
        if (now - balancedMillis < BALANCE_INTERVAL_MILLIS) return emptyList()
        balancedMillis = now
        return rateLimiter.balanceRequests()
    }

    private fun onResponse(node: String, response: String, requestedMillis: Long) {
        if (response.isEmpty()) return
        PeerMessages.decode(AnnouncementResponse.serializer(), response, COMPONENT)
            ?.let { rateLimiter.onBalanced(node, it.balance, requestedMillis) }
    }

    // Other zones only need to know whether there is room and about how much.
    private fun differs(announced: ServiceCapacity?, current: ServiceCapacity): Boolean = announced == null ||
        level(announced.onlineSlots) != level(current.onlineSlots) ||
        level(announced.spare) != level(current.spare)

    private fun level(slots: Int): Int = when {
        slots <= 0 -> 0
        slots <= FEW_SLOTS -> 1
        else -> 2
    }

    private fun accept(service: String, socket: PeerSocket) {
        val scheduler = schedulerOf(service).scheduler
        val connection = object : SlotScheduler.NodeConnection {
            override fun send(message: SchedulerMessage) =
                socket.send(Json.encodeToString(SchedulerMessage.serializer(), message))

            override fun close() = socket.close()
        }
        var session: TokenGate.Session? = null
        socket.onMessage { text ->
            val message = PeerMessages.decode(NodeMessage.serializer(), text, COMPONENT)
            val current = session
            when {
                message is NodeMessage.Hello -> {
                    current?.onClosed()
                    session = tokenGate.connect(scheduler, message, connection)
                }

                message == null || current == null -> socket.close()
                else -> current.onMessage(message)
            }
        }
        socket.onClose { session?.onClosed() }
    }

    private fun schedulerOf(service: String): HostedScheduler = hosted.getOrPut(service) {
        val workers = LoadBalancer(
            self.zone,
            rateShare = { RateLimitShares.ofScheduler(isPreferred()) },
            coldLimit,
            routing,
            memoryTokens = memoryTokens,
        )
        workers.evacuate(evacuatedZones, clock.millis())
        workers.update(zoneWorkers[service].orEmpty())
        logger.info { "scheduling: this node runs the scheduler of $service in ${self.zone}" }
        HostedScheduler(
            workers,
            SlotScheduler(service, workers, capacitiesOf(service), weight = weight, work = workers.costs::workOf),
        )
    }

    /** Whether this node's requests use the schedulers that run here. */
    private fun isPreferred(): Boolean = directory.preferred(self.zone, reachability)?.name == self.name

    private fun capacitiesOf(service: String): ZoneCapacities = capacities.getOrPut(service) { ZoneCapacities() }

    companion object {
        private val logger = KotlinLogging.logger {}
        private const val COMPONENT = "scheduling"
        private const val CAPACITY_PATH = "/capacity"

        /** Path of the WebSocket of a scheduler. The name of the service follows. */
        const val SOCKET_PATH = "/scheduler/"

        // Bounds how long a request waits after a slot has become free without a message, for example because the
        // estimated load of other users has decayed.
        private const val UPDATE_INTERVAL_MILLIS = 50L
        private const val ALIVE_INTERVAL_MILLIS = 300L
        private const val REPEAT_INTERVAL_MILLIS = 250L

        // Longer than a message between zones takes, so that a request for tokens is answered before the next one.
        private const val BALANCE_INTERVAL_MILLIS = 100L
        private const val ANNOUNCEMENT_TIMEOUT_MILLIS = 300L
        private const val FEW_SLOTS = 3
    }
}
