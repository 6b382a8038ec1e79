package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.poplarshift.node.batch.BatchPart
import org.poplarshift.node.caller.AttemptLoop
import org.poplarshift.node.caller.CallerAuthentication
import org.poplarshift.node.caller.CallerMetrics
import org.poplarshift.node.caller.CompletionRoutes
import org.poplarshift.node.caller.ModelRoutes
import org.poplarshift.node.caller.OnlineHandler
import org.poplarshift.node.caller.OnlineRunner
import org.poplarshift.node.caller.OpenRequests
import org.poplarshift.node.caller.ServiceRoutes
import org.poplarshift.node.configuration.ConfigurationExchange
import org.poplarshift.node.configuration.ConfigurationFollower
import org.poplarshift.node.configuration.ConfigurationSnapshotWriter
import org.poplarshift.node.configuration.DefaultConfigurationStore
import org.poplarshift.node.dispatch.DefaultUpstreamDispatcher
import org.poplarshift.node.dispatch.DispatchSettings
import org.poplarshift.node.forward.DefaultUpstreamClient
import org.poplarshift.node.forward.UpstreamClient
import org.poplarshift.node.http.ConnectionCloseHeader
import org.poplarshift.node.http.NodeServer
import org.poplarshift.node.idempotency.LogRequestLedger
import org.poplarshift.node.idempotency.RequestLedger
import org.poplarshift.node.idempotency.RequestLog
import org.poplarshift.node.log.TailingLogFollower
import org.poplarshift.node.ownership.DefaultSlotOwnership
import org.poplarshift.node.peer.DefaultPeerDirectory
import org.poplarshift.node.peer.Gossip
import org.poplarshift.node.peer.GossipParticipant
import org.poplarshift.node.peer.HttpPeerClient
import org.poplarshift.node.peer.VmListReader
import org.poplarshift.node.quota.FleetQuotaGate
import org.poplarshift.node.quota.LocalQuotaGate
import org.poplarshift.node.quota.QuotaGate
import org.poplarshift.node.quota.QuotaMessenger
import org.poplarshift.node.settings.QuotaMode
import org.poplarshift.node.status.HealthRoutes
import org.poplarshift.node.status.StatusRoute
import org.poplarshift.wire.LogStream

/** The composition root: constructs every part of a node once, starts the parts and stops them. */
class Node(val context: NodeContext) {
    val lifecycle = NodeLifecycle()
    val callersServer = NodeServer(context, "callers", context.settings.callersAddress)
    val peersServer = NodeServer(context, "peers", context.settings.listenAddressForPeers)

    private val configurationLogFollower = TailingLogFollower(
        logService = context.logService,
        stream = LogStream.CONFIGURATION,
        clock = context.clock,
        waitMillis = context.settings.configuration.readWaitMillis,
    )
    val configuration = DefaultConfigurationStore(configurationLogFollower, context.clock)
    val peerClient = HttpPeerClient(context.vertx, context.settings.outgoingHost)
    val peers = DefaultPeerDirectory(context.self, context.settings.seedPeers, context.clock)
    private val configurationExchange = ConfigurationExchange(configuration, peerClient, peersServer.router)

    val ownership = DefaultSlotOwnership(context, configuration, peerClient, peersServer.router)
    private val fleetQuota = FleetQuotaGate(
        context,
        configuration,
        peersServer.router,
        QuotaMessenger(peerClient, context.incarnation, ownership::addressOf),
        ownership.holding,
    )
    val quota: QuotaGate = when (context.settings.quotaMode) {
        QuotaMode.FLEET -> fleetQuota
        QuotaMode.LOCAL -> LocalQuotaGate(context.clock)
    }
    val dispatcher = DefaultUpstreamDispatcher(
        context = context,
        configuration = configuration,
        peers = peers,
        peerClient = peerClient,
        peersRouter = peersServer.router,
        settings = DispatchSettings.of(context.settings),
    )
    private val requestLogFollower = TailingLogFollower(context.logService, LogStream.REQUESTS, context.clock)
    private val logLedger = LogRequestLedger(context, RequestLog(context, requestLogFollower), configuration, peers)
    val ledger: RequestLedger = logLedger

    val callerMetrics = CallerMetrics(context.metrics)
    val openRequests = OpenRequests(context, configuration)
    val authentication = CallerAuthentication(configuration, context.settings.configuration)
    val upstreamClient: UpstreamClient =
        DefaultUpstreamClient(context.vertx, context.settings.outgoingHost, context.clock)
    private val attemptLoop = AttemptLoop(dispatcher, upstreamClient, callerMetrics, context.clock)
    private val onlineRunner = OnlineRunner(quota, ledger, attemptLoop)
    private val callerIdleMillis = context.settings.limits.callerIdleMillis
    private val onlineHandler =
        OnlineHandler(openRequests, onlineRunner, callerMetrics, context.clock, callerIdleMillis)

    val batch = BatchPart(
        context,
        configuration,
        ownership,
        dispatcher.batch,
        dispatcher,
        upstreamClient,
        peers,
        peerClient,
        callersServer.router,
        peersServer.router,
        authentication,
        openRequests,
        callerMetrics,
    )

    private val gossipParticipants: List<GossipParticipant> = listOf(
        configurationExchange,
        dispatcher.quarantine,
    )

    private val parts: List<NodePart> = listOf(
        HealthRoutes(context, lifecycle, peersServer.router),
        ConfigurationFollower(context, configuration, lifecycle),
        configurationExchange,
        ConfigurationSnapshotWriter(context, configuration),
        VmListReader(context, peers),
        ownership,
        fleetQuota,
        dispatcher,
        logLedger,
        ConnectionCloseHeader(lifecycle, callersServer.router),
        openRequests,
        StatusRoute(
            context,
            peersServer.router,
            lifecycle,
            configuration,
            peers,
            openRequests,
            callerMetrics,
            ownership,
        ),
        ModelRoutes(callersServer.router, configuration, authentication, onlineHandler),
        CompletionRoutes(context, callersServer.router, configuration, authentication, onlineHandler),
        batch,
        ServiceRoutes(context, callersServer.router, configuration, authentication, onlineHandler),
        Gossip(context, lifecycle, peers, peerClient, peersServer.router, gossipParticipants),
    )

    /** Starts all parts, then the listeners. */
    suspend fun start() = withContext(context.scope.coroutineContext) {
        parts.forEach { it.start() }
        peersServer.listen()
        callersServer.listen()
        log.info { "node: ${context.settings.vm} started with incarnation ${context.incarnation}" }
    }

    /** Shuts down gracefully: interrupts no request and returns when all have ended. */
    suspend fun shutdown() = withContext(context.scope.coroutineContext) {
        log.info { "node: shutdown started" }
        lifecycle.markLeaving()
        parts.forEach { it.leave() }
        delay(context.settings.shutdown.listLagMillis)
        callersServer.close(context.settings.limits.callerIdleMillis)
        parts.asReversed().forEach { it.stop() }
        peersServer.close(PEER_CLOSE_TIMEOUT_MILLIS)
        log.info { "node: shutdown complete" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val PEER_CLOSE_TIMEOUT_MILLIS = 1_000L
    }
}
