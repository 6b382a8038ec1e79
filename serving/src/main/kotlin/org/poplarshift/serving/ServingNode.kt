package org.poplarshift.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.serving.allowance.AllowanceGate
import org.poplarshift.serving.allowance.PeerTokens
import org.poplarshift.serving.fleet.ConfigurationHolder
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.fleet.LoadExchange
import org.poplarshift.serving.fleet.WorkerRegistry
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.forward.WorkerConnectionPool
import org.poplarshift.serving.forward.WorkerDispatcher
import org.poplarshift.serving.forward.WorkerProber
import org.poplarshift.serving.ingress.CallHandlers
import org.poplarshift.serving.ingress.CallerServer
import org.poplarshift.serving.ingress.StatusServer
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.RelayedLog
import org.poplarshift.serving.log.TopicFollower
import org.poplarshift.serving.observe.CallRecorder
import org.poplarshift.serving.observe.NodeGauges
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerLogRelay
import org.poplarshift.serving.peer.PeerServer
import org.poplarshift.serving.quarantine.CrashRegister
import org.poplarshift.serving.submission.BatchRunner
import org.poplarshift.serving.submission.FleetLoad
import org.poplarshift.serving.submission.SubmissionService
import org.poplarshift.serving.submission.SubmissionStore

/** One node: all parts on one event loop. */
class ServingNode(
    vertx: Vertx,
    private val scope: CoroutineScope,
    private val settings: ServingSettings,
    private val ports: ServingPorts,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val metrics: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
) {
    private val board = WorkerBoard(settings.zone)
    private val self = FleetMember(settings.name, settings.zone, settings.peerAddress)
    private val peerClient = PeerClient(vertx, settings.localHost)
    private val peerServer = PeerServer(vertx, scope)
    private val relay: PeerLogRelay =
        PeerLogRelay(peerClient) { members.peers.filter { it.name in exchange.loads.reachingLog } }
    private val log = RelayedLog(ports.log, relay, clock)
    private val members: FleetMembers = FleetMembers(
        log,
        clock,
        settings.memberTopic,
        self,
        onChange = { updateAllowances() },
    )
    private val tokens = PeerTokens(peerClient, members)
    private val allowances: AllowanceGate = AllowanceGate(scope, clock, tokens) { members.size }
    private val configuration = ConfigurationHolder(ports::decodeConfiguration) { allowances.update(it) }
    private val dispatcher: WorkerDispatcher = WorkerDispatcher(scope, board, clock) { exchange.onChange() }
    private val connections = WorkerConnectionPool(vertx, settings.localHost, clock)
    private val watch = WorkerProber(scope, board, connections)
    private val crashes = CrashRegister(scope, clock, log, settings.memberTopic, settings.name)
    private val forwarding = ForwardingContext(dispatcher, connections, watch, ports.workerProtocol, clock, crashes)
    private val exchange: LoadExchange =
        LoadExchange(scope, clock, self, members, peerClient, board, dispatcher) { log.isReachable }
    private val registry: WorkerRegistry = WorkerRegistry(board, clock, ports::decodeWorker) { sweepConnections() }
    private val store =
        SubmissionStore(scope, log, clock, settings.submissionTopic, settings.submissionPartitions)
    private val fleetLoad =
        FleetLoad(board, exchange.loads, { log.isReachable }) { service ->
            dispatcher.waitingOnline[service]
                ?: 0
        }
    private val batch = BatchRunner(scope, store, ports.group, forwarding, fleetLoad, settings.retentionMillis)
    private val submissions = SubmissionService(store, ports.callerProtocol, clock)
    private val handlers = CallHandlers(clock, configuration, allowances, forwarding, submissions)
    private val callers =
        CallerServer(vertx, scope, clock, ports.callerProtocol, configuration, handlers, CallRecorder(metrics))
    private val readiness =
        StatusServer(vertx) { path ->
            if (ports.callerProtocol.isReadinessCheck(path)) readinessStatus() else NOT_FOUND
        }
    private val metricsServer = StatusServer(vertx, { metrics.scrape() }) { OK }
    private val followers = listOf(
        TopicFollower(log, clock, settings.configurationTopic, FIRST, configuration, LONG_READ_MILLIS),
        TopicFollower(log, clock, settings.workerTopic, FIRST, registry, WORKER_READ_MILLIS, WORKER_PAUSE_MILLIS)
            .also { registry.follower = it },
        TopicFollower(
            log,
            clock,
            settings.memberTopic,
            FIRST,
            memberRecords(),
            LONG_READ_MILLIS,
            MEMBER_PAUSE_MILLIS,
        ),
    )

    /** Starts to serve. */
    suspend fun start() {
        followers.forEach { scope.launch { it.run() } }
        store.partitions.forEach { scope.launch { it.follower.run() } }
        scope.launch { members.run() }
        scope.launch { registry.run() }
        scope.launch { keepTidy() }
        tokens.serve(peerServer) { organisation, wanted -> allowances.give(organisation, wanted) }
        exchange.serve(peerServer)
        relay.serve(peerServer, ports.log)
        peerServer.listen(settings.peerAddress)
        scope.launch { exchange.run() }
        readiness.listen(settings.readinessAddress)
        settings.metricsAddress?.let { metricsServer.listen(it) }
        NodeGauges.register(metrics, configuration, members, registry, batch, connections, dispatcher)
        callers.listen(settings.callersAddress)
        scope.launch { startBatch() }
        logger.atInfo {
            message = "node: started"
            payload = mapOf("node" to settings.name, "zone" to settings.zone, "callers" to settings.callersAddress)
        }
    }

    /** Stops being ready, hands batch work over, and returns when the callers' requests have ended. */
    suspend fun stop() {
        logger.info { "node: leaving, ${callers.activeRequests} requests are active" }
        callers.isShuttingDown = true
        val handover = scope.launch { batch.leave() }
        callers.drain(NOTICE_MILLIS, settings.drainMillis)
        joinAll(handover)
        logger.info { "node: stopped, ${callers.activeRequests} requests are active" }
    }

    private suspend fun startBatch() {
        store.partitions.forEach { it.follower.awaitStart() }
        batch.run()
    }

    private fun readinessStatus(): Int {
        val isReady = !callers.isShuttingDown && configuration.current != null && registry.known.isNotEmpty()
        return if (isReady) OK else UNAVAILABLE
    }

    // One topic for members and crashes saves the calls of another follower.
    private fun memberRecords() = object : RecordReceiver {
        override fun onRestart() = members.onRestart()

        override fun onRecord(record: LogRecord) =
            if (crashes.owns(record.key)) crashes.onRecord(record) else members.onRecord(record)

        override fun onCaughtUp() = members.onCaughtUp()
    }

    private fun updateAllowances() = allowances.update(configuration.current)

    private fun sweepConnections() = connections.evictUnusable(board.workers.map { it.id }.toSet())

    private suspend fun keepTidy() {
        var round = 0
        while (true) {
            delay(TIDY_MILLIS)
            sweepConnections()
            watch.probeSuspects()
            if (++round % CLEAN_ROUNDS != 0) continue
            batch.clean()
            crashes.expire()
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val FIRST = 0

        // Bounds how long a read on a connection that went silent goes unnoticed.
        const val LONG_READ_MILLIS = 1_500L

        // Workers renew their entries all the time; reading several at once saves calls, and a draining worker must
        // get nothing new two seconds later.
        const val WORKER_READ_MILLIS = 1_000L
        const val WORKER_PAUSE_MILLIS = 600L
        const val MEMBER_PAUSE_MILLIS = 500L
        const val TIDY_MILLIS = 500L
        const val CLEAN_ROUNDS = 20

        // The balancer notices after two questions a second apart.
        const val NOTICE_MILLIS = 3_000L
    }
}
