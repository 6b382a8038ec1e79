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

/**
 * Runs the schedulers that this node has been asked to run, and announces their capacity and their leaving workers to the other zones.
 *
 * Any node runs the scheduler of a service as soon as another node connects to it.
 */
class SchedulerHost(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val self: FleetMember,
    private val directory: SchedulerDirectory,
    private val client: PeerClient,
    private val reachability: PeerReachability,
    private val routing: WorkerRouting,
    private val memoryTokens: (String) -> Long?,
) {
    @Serializable
    private data class Announcement(
        val zone: String,
        val service: String,
        val capacity: ServiceCapacity,
        val leaving: List<WorkerIncarnation> = emptyList(),
    )

    private class HostedScheduler(val workers: LoadBalancer, val scheduler: SlotScheduler) {
        var announced: ServiceCapacity? = null
        var announcedLeaving = emptyList<WorkerIncarnation>()
        var announcedMillis = Long.MIN_VALUE / 2
        var aliveMillis = Long.MIN_VALUE / 2
    }

    private val hosted = HashMap<String, HostedScheduler>()
    private val capacities = HashMap<String, ZoneCapacities>()
    private var zoneWorkers = mapOf<String, List<FleetWorker>>()

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
                ""
            }
        }
    }

    /** Replaces the registered workers. */
    fun update(workers: Collection<FleetWorker>) {
        zoneWorkers = workers.filter { it.zone == self.zone }.groupBy { it.service }
        for ((service, entry) in hosted) {
            entry.workers.update(zoneWorkers[service].orEmpty())
            entry.scheduler.update(clock.millis())
        }
    }

    /** Connects this node to its own scheduler of [service]. */
    fun connectLocally(service: String, hello: NodeMessage.Hello, receiver: SchedulerReceiver): SchedulerChannel =
        LocalSchedulerChannel(schedulerOf(service).scheduler, clock, hello, receiver)

    /** Updates the schedulers and announces their capacity until cancelled. */
    suspend fun run() {
        while (true) {
            delay(UPDATE_INTERVAL_MILLIS)
            val now = clock.millis()
            zoneWorkers.keys.filter { directory.isFirst(self, it) }.forEach { schedulerOf(it) }
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
        if (isInUse || directory.isFirst(self, service)) announce(service, entry, now)
    }

    private fun announce(service: String, entry: HostedScheduler, now: Long) {
        val capacity = entry.scheduler.capacity(now)
        val isDue = now - entry.announcedMillis >= REPEAT_INTERVAL_MILLIS
        val leaving = entry.scheduler.leaving
        if (!isDue && !differs(entry.announced, capacity) && leaving == entry.announcedLeaving) return
        entry.announcedLeaving = leaving
        entry.announced = capacity
        entry.announcedMillis = now
        val body = Json.encodeToString(Announcement.serializer(), Announcement(self.zone, service, capacity, leaving))
        for (zone in directory.otherZones(self.zone)) {
            val target = directory.order(zone, service).firstOrNull { !reachability.isSuspect(it.name) } ?: continue
            tasks.launchOnce("capacity announcement", onFailed = { reachability.onFailure(target.name) }) {
                val response = client.post(target, CAPACITY_PATH, body, ANNOUNCEMENT_TIMEOUT_MILLIS)
                if (response == null) reachability.onFailure(target.name)
            }
        }
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
        var node: String? = null
        socket.onMessage { text ->
            val message = PeerMessages.decode(NodeMessage.serializer(), text, COMPONENT)
            val sender = node
            when {
                message is NodeMessage.Hello -> {
                    node = message.node
                    scheduler.onConnected(message, clock.millis(), connection)
                }

                message == null || sender == null -> socket.close()
                else -> scheduler.onMessage(sender, message, clock.millis())
            }
        }
        socket.onClose { node?.let { scheduler.onDisconnected(it, connection) } }
    }

    private fun schedulerOf(service: String): HostedScheduler = hosted.getOrPut(service) {
        val workers = LoadBalancer(
            self.zone,
            rateShare = { RateLimitShares.ofScheduler(isPreferred(service)) },
            routing,
            memoryTokens = memoryTokens,
        )
        workers.update(zoneWorkers[service].orEmpty())
        logger.info { "scheduling: this node runs the scheduler of $service in ${self.zone}" }
        HostedScheduler(workers, SlotScheduler(service, workers, capacitiesOf(service)))
    }

    /** Whether this node's requests for [service] use the scheduler that runs here. */
    private fun isPreferred(service: String): Boolean =
        directory.preferred(self.zone, service, reachability)?.name == self.name

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
        private const val ANNOUNCEMENT_TIMEOUT_MILLIS = 300L
        private const val FEW_SLOTS = 3
    }
}
