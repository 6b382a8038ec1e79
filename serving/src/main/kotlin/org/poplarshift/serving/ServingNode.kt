package org.poplarshift.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.OrganisationWeights
import org.poplarshift.core.dispatch.RateLimitShares
import org.poplarshift.serving.fleet.ConfigurationHolder
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.fleet.WorkerRegistry
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.forward.ResponseMemory
import org.poplarshift.serving.forward.WorkerConnectionPool
import org.poplarshift.serving.forward.WorkerProber
import org.poplarshift.serving.forward.WorkerStartVerifier
import org.poplarshift.serving.ingress.CallHandlers
import org.poplarshift.serving.ingress.CallerServer
import org.poplarshift.serving.ingress.ClientContext
import org.poplarshift.serving.ingress.ClientGate
import org.poplarshift.serving.ingress.StatusServer
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.RelayedLog
import org.poplarshift.serving.log.TopicFollower
import org.poplarshift.serving.observe.CallRecorder
import org.poplarshift.serving.observe.CostMetrics
import org.poplarshift.serving.observe.NodeGauges
import org.poplarshift.serving.observe.NodeStatus
import org.poplarshift.serving.observe.ResumedStreamRecorder
import org.poplarshift.serving.observe.UnusableResponseRecorder
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerLogRelay
import org.poplarshift.serving.peer.PeerReachability
import org.poplarshift.serving.peer.PeerServer
import org.poplarshift.serving.peer.RelayPeers
import org.poplarshift.serving.quarantine.CrashTracker
import org.poplarshift.serving.ratelimit.PeerTokenSource
import org.poplarshift.serving.ratelimit.RateLimitCounters
import org.poplarshift.serving.ratelimit.RateLimiter
import org.poplarshift.serving.ratelimit.ShareDirectory
import org.poplarshift.serving.ratelimit.ShareGuard
import org.poplarshift.serving.scheduling.FleetDispatcher
import org.poplarshift.serving.scheduling.RouteExplainer
import org.poplarshift.serving.scheduling.SchedulerDirectory
import org.poplarshift.serving.scheduling.SchedulerHost
import org.poplarshift.serving.scheduling.TokenGate
import org.poplarshift.serving.scheduling.WebSocketSchedulerConnector
import org.poplarshift.serving.stream.HttpStreamOriginPeers
import org.poplarshift.serving.stream.ReplicatedStreamOrigins
import org.poplarshift.serving.stream.StreamOriginRecorder
import org.poplarshift.serving.stream.StreamOriginReplicas
import org.poplarshift.serving.stream.VersionRecords
import org.poplarshift.serving.submission.BatchRunner
import org.poplarshift.serving.submission.ContentCache
import org.poplarshift.serving.submission.SubmissionPartition
import org.poplarshift.serving.submission.SubmissionService
import org.poplarshift.serving.submission.SubmissionStore

/** A serving node. All of its components run on one event loop. */
class ServingNode(
    vertx: Vertx,
    scope: CoroutineScope,
    private val settings: ServingSettings,
    private val ports: ServingPorts,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val metrics: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
    wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    private val tasks = BackgroundTasks(scope, clock) { name ->
        metrics.counter("task_failures", "task", name).increment()
    }
    private val clients = ClientContext(clock, metrics)
    private var drainMillis = settings.drainMillis
    private val loadBalancer: LoadBalancer = LoadBalancer(
        settings.zone,
        rateShare = { RateLimitShares.ofNode(members.assumedSize) },
        ::coldLimit,
        settings.routing,
        isShared = true,
        memoryTokens = ::memoryTokens,
    )
    private val ownMember = FleetMember(settings.name, settings.zone, settings.peerAddress, settings.speed)
    private val reachability = PeerReachability(clock)
    private val peerClient = PeerClient(vertx, settings.localHost)
    private val peerServer = PeerServer(vertx, tasks, clients)
    private val relayPeers = RelayPeers(
        ownMember,
        settings.submissionTopic,
        settings.zones,
        isRestricted = { configuration.current?.hasAllowedRegions == true },
    ) { members.peers }
    private val relay: PeerLogRelay = PeerLogRelay(peerClient, clock, relayPeers::forTopic)
    private val log = RelayedLog(ports.log, relay, clock, largeTopics = setOf(settings.submissionTopic))
    private val members: FleetMembers = FleetMembers(
        log,
        clock,
        settings.memberTopic,
        ownMember,
        onChange = {
            directory.onMembersChanged()
            shares.onMembersChanged(members.isMember, members.hasPredecessor)
            rateLimiter.updateShares()
            streamOrigins.onMembersChanged()
        },
    )
    private val directory: SchedulerDirectory = SchedulerDirectory(ownMember, members)

    // Timeouts of token requests are too short to tell schedulers that a node can't be reached.
    private val tokenReachability = PeerReachability(clock)
    private val shares: ShareDirectory = ShareDirectory(ownMember, clock, settings.zones.keys, directory)
    private val tokenSource = PeerTokenSource(peerClient, members, shares, tokenReachability)
    private val rateLimiter: RateLimiter = RateLimiter(tasks, clock, tokenSource, RateLimitCounters(metrics))
    private val shareGuard = ShareGuard(clock, settings.zone, members, shares, tokenSource::isResponding) {
        rateLimiter.updateShares()
    }
    private val registry: WorkerRegistry =
        WorkerRegistry(loadBalancer, clock, ports::decodeWorker) { onWorkersChanged() }
    private val versionRecords: VersionRecords = VersionRecords(tasks, clock, log, settings.name, registry)
    private val streamOriginPeers = HttpStreamOriginPeers(peerClient)
    private val streamOrigins: ReplicatedStreamOrigins = ReplicatedStreamOrigins(
        tasks,
        clock,
        versionRecords,
        StreamOriginReplicas(ownMember, directory),
        streamOriginPeers,
        StreamOriginRecorder(metrics),
        servicesBeside = { configuration.current?.servicesBeside(it) ?: setOf(it) },
        isLogDisturbed = { followers.any { it.isFailing } },
    )
    private val tokenGate = TokenGate(tasks, clock, rateLimiter)
    private val configuration: ConfigurationHolder =
        ConfigurationHolder(ports::decodeConfiguration, ::onEvacuation) {
            rateLimiter.update(it)
            streamOrigins.onServicesChanged()
        }
    private val weights = OrganisationWeights { configuration.current?.organisations }
    private val schedulerHost = SchedulerHost(
        tasks,
        clock,
        ownMember,
        directory,
        peerClient,
        reachability,
        tokenGate,
        weights::of,
        ::coldLimit,
        settings.routing,
        ::memoryTokens,
    )
    private val dispatcher = FleetDispatcher(
        tasks,
        clock,
        ownMember,
        loadBalancer,
        directory,
        reachability,
        WebSocketSchedulerConnector(ownMember, peerClient, schedulerHost),
        tokenGate,
        settings.zones,
        isRecorded = streamOrigins::isRecorded,
    )
    private val unusableResponses = UnusableResponseRecorder(metrics)
    private val connections = WorkerConnectionPool(vertx, settings.localHost, clock, unusableResponses)
    private val prober = WorkerProber(tasks, loadBalancer, connections)
    private val crashTracker = CrashTracker(tasks, clock, log, settings.memberTopic, settings.name, wallClockMillis)
    private val forwarding = ForwardingContext(
        dispatcher,
        connections,
        prober,
        ports.workerProtocol,
        clock,
        crashTracker,
        unusableResponses,
        streamOrigins,
        ResumedStreamRecorder(metrics),
        ResponseMemory(ForwardingContext.RESPONSE_MEMORY_BYTES, clients.account),
        WorkerStartVerifier(ports.workerProtocol, clock, connections.doubts) { registry.asOfMillis },
        tokensPerEvent = ::tokensPerEvent,
    )
    private val contentCache = ContentCache(settings.contentCacheBytes)
    private val store =
        SubmissionStore(tasks, log, clock, settings.submissionTopic, settings.submissionPartitions, contentCache)
    private val batchRunner = BatchRunner(
        tasks,
        store,
        ports.group,
        forwarding,
        { configuration.current },
        settings.retentionMillis,
        wallClockMillis,
        isLogReachable = { log.isServed },
        mayRun = { NodeDuty.ITEMS !in tasks.suspendedDuties },
    )
    private val submissions = SubmissionService(store, ports.callerProtocol, clock, wallClockMillis)
    private val handlers = CallHandlers(clock, configuration, forwarding, submissions)
    private val callerServer =
        CallerServer(vertx, tasks, clock, ports.callerProtocol, configuration, handlers, CallRecorder(metrics), clients)
    private val readinessServer =
        StatusServer(vertx, ClientGate("readiness", clients, STATUS_CONNECTION_SHARE)) { path ->
            if (ports.callerProtocol.isReadinessCheck(path)) readinessStatus() else NOT_FOUND
        }
    private val costMetrics = CostMetrics(metrics, clock) { schedulerHost.workersByService }
    private val routeExplainer = RouteExplainer(settings.name, clock, { schedulerHost.workersByService }) {
        directory.preferred(settings.zone, reachability)?.name
    }
    private val metricsServer =
        StatusServer(vertx, ClientGate("metrics", clients, STATUS_CONNECTION_SHARE), ::metricsText) { OK }
    private val followers = listOf(
        TopicFollower(log, clock, settings.configurationTopic, FIRST_PARTITION, configuration, READ_WAIT_MILLIS),
        TopicFollower(
            log,
            clock,
            settings.workerTopic,
            FIRST_PARTITION,
            registry,
            WORKER_READ_WAIT_MILLIS,
            WORKER_PAUSE_MILLIS,
        )
            .also { registry.follower = it },
        TopicFollower(
            log,
            clock,
            settings.memberTopic,
            FIRST_PARTITION,
            memberTopicReceiver(),
            READ_WAIT_MILLIS,
            MEMBER_PAUSE_MILLIS,
        )
            .also { versionRecords.attach(it) },
    )

    /** Applies the retention and drain times of [changed], also to a shutdown that has not begun yet. */
    fun updateTimes(changed: ServingSettings) {
        drainMillis = changed.drainMillis
        batchRunner.retentionMillis = changed.retentionMillis
    }

    /** Starts the background tasks and the servers. */
    suspend fun start(): ListeningPorts {
        launchFollowers()
        // Without its record, other nodes do not ask this one for slots, and it holds no share of rate limits.
        tasks.launch("members", setOf(NodeDuty.CALLERS)) { members.run() }
        tasks.launch("rate limit shares") { shareGuard.run() }
        tasks.launch("registry", ALL_DUTIES) { registry.run() }
        tasks.launch("version removal") { versionRecords.run() }
        tasks.launch("maintenance") { runMaintenance() }
        tasks.launch("stream origins") { streamOrigins.run() }
        servePeers()
        tasks.launch("schedulers") { schedulerHost.run() }
        tasks.launch("dispatcher", ALL_DUTIES) { dispatcher.run() }
        val readinessPort = readinessServer.listen(settings.readinessAddress)
        settings.metricsAddress?.let { metricsServer.listen(it) }
        NodeGauges.register(metrics, configuration, members, registry, batchRunner, forwarding)
        NodeGauges.registerScheduling(metrics, schedulerHost)
        NodeGauges.registerStreams(metrics, streamOrigins)
        val callersPort = callerServer.listen(settings.callersAddress)
        tasks.launch("batch membership", setOf(NodeDuty.ITEMS)) {
            awaitSubmissions { batchRunner.maintainMembership() }
        }
        tasks.launch("batch items", setOf(NodeDuty.ITEMS)) { awaitSubmissions { batchRunner.run() } }
        logger.atInfo {
            message = "node: started"
            payload = mapOf("node" to settings.name, "zone" to settings.zone, "callers" to settings.callersAddress)
        }
        return ListeningPorts(callersPort, readinessPort)
    }

    private suspend fun servePeers() {
        tokenSource.serve(peerServer, rateLimiter::lend)
        schedulerHost.serve(peerServer)
        streamOriginPeers.serve(peerServer, streamOrigins::store, streamOrigins::findLocally)
        relay.serve(peerServer, ports.log)
        peerServer.listen(settings.peerAddress)
    }

    private fun launchFollowers() {
        followers.forEach { tasks.launch("follower of ${it.topic}", ALL_DUTIES) { it.run() } }
        store.partitions.forEach { tasks.launch("follower of submissions ${it.number}", ALL_DUTIES) { follow(it) } }
    }

    // Callers can be served before the submissions, whose topic is by far the largest, have been read.
    private suspend fun follow(partition: SubmissionPartition) {
        followers.forEach { it.awaitStart() }
        partition.follower.run()
    }

    /**
     * Reports the node as not ready, releases its batch partitions and returns once all requests of callers have ended,
     * at the latest after the configured drain time.
     */
    suspend fun stop() {
        logger.info { "node: shutting down, ${callerServer.activeRequests} requests are active" }
        callerServer.isShuttingDown = true
        val handover = tasks.launchOnce("hand-over") { batchRunner.leave() }
        callerServer.drain(DEREGISTRATION_MILLIS, drainMillis)
        if (handover.await() is TaskResult.Failed) {
            logger.warn { "node: the batch shares are not handed over; the group assigns them to others after a while" }
        }
        logger.info { "node: stopped, ${callerServer.activeRequests} requests are active" }
    }

    // Items must not be sent to workers of evacuated zones, which the topic of the configuration states.
    private suspend fun awaitSubmissions(run: suspend () -> Unit) {
        followers.first { it.topic == settings.configurationTopic }.awaitStart()
        store.partitions.forEach { it.follower.awaitStart() }
        run()
    }

    private val isReady: Boolean
        get() = !callerServer.isShuttingDown &&
            configuration.current != null &&
            registry.known.isNotEmpty() &&
            versionRecords.isReady &&
            NodeDuty.CALLERS !in tasks.suspendedDuties

    private fun readinessStatus(): Int = if (isReady) OK else UNAVAILABLE

    private fun metricsText(uri: String): String = when (uri.substringBefore('?')) {
        STATUS_PATH -> status()
        RouteExplainer.PATH -> routeExplainer.explain(uri)
        else -> scrape()
    }

    private fun scrape(): String {
        costMetrics.refresh()
        return metrics.scrape()
    }

    private fun status(): String = NodeStatus(settings.name, isReady, tasks.states).encode()

    // Records of members, crashes and versions share a topic, which saves the calls of further followers.
    private fun memberTopicReceiver() = object : RecordReceiver {
        override fun onRestart() {
            members.onRestart()
            versionRecords.onRestart()
        }

        override fun onRecord(record: LogRecord) = when {
            crashTracker.isStrikeKey(record.key) -> crashTracker.onRecord(record)
            versionRecords.isVersionKey(record.key) -> versionRecords.onRecord(record)
            else -> {
                members.onRecord(record)
                versionRecords.onRecord(record)
            }
        }

        override fun onCaughtUp() {
            members.onCaughtUp()
            versionRecords.onCaughtUp()
        }
    }

    private fun memoryTokens(service: String): Long? = configuration.current?.services?.get(service)?.memoryTokens

    private fun tokensPerEvent(service: String): Int =
        configuration.current?.services?.get(service)?.tokensPerEvent ?: 1

    private fun onWorkersChanged() {
        schedulerHost.update(loadBalancer.workers)
        versionRecords.onWorkersChanged()
        evictUnusableConnections()
    }

    // Another node may ask for slots before this one has read the configuration. Cold workers get almost nothing until then.
    private fun coldLimit(service: String): Double? {
        val current = configuration.current ?: return 0.0
        return current.services[service]?.coldRequestsPerSecond
    }

    private fun onEvacuation(zones: Set<String>) {
        loadBalancer.evacuate(zones, clock.millis())
        schedulerHost.evacuate(zones)
    }

    private fun evictUnusableConnections() = connections.evictUnusable(loadBalancer.workers.map { it.id }.toSet())

    private suspend fun runMaintenance() {
        var round = 0
        while (true) {
            delay(MAINTENANCE_INTERVAL_MILLIS)
            evictUnusableConnections()
            prober.probeSuspects()
            if (++round % CLEANUP_ROUNDS != 0) continue
            batchRunner.removeExpired()
            crashTracker.expire()
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        // The balancer and the metrics collector have few connections each.
        const val STATUS_CONNECTION_SHARE = 0.05
        const val STATUS_PATH = "/status"
        const val FIRST_PARTITION = 0
        val ALL_DUTIES = NodeDuty.entries.toSet()

        // Bounds the time until a read on a stalled connection is detected.
        const val READ_WAIT_MILLIS = 1_500L

        // Workers renew their entries continuously, so reading several at once saves calls. A draining worker must not
        // receive new requests two seconds later.
        const val WORKER_READ_WAIT_MILLIS = 1_000L
        const val WORKER_PAUSE_MILLIS = 600L
        const val MEMBER_PAUSE_MILLIS = 500L
        const val MAINTENANCE_INTERVAL_MILLIS = 500L
        const val CLEANUP_ROUNDS = 20

        // The external load balancer detects that a node is not ready after two checks, one second apart.
        const val DEREGISTRATION_MILLIS = 3_000L
    }
}
