package org.poplarshift.node.dispatch

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.withContext
import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.core.routing.LoadReport
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.node.NodeContext
import org.poplarshift.node.PlatformPorts
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.NodeServer
import org.poplarshift.node.peer.HttpPeerClient
import org.poplarshift.node.peer.Peer
import org.poplarshift.node.peer.PeerDirectory
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.node.settings.PlatformSettings
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogService
import org.poplarshift.ports.ReadResult
import org.poplarshift.ports.VmList
import org.poplarshift.ports.VmListResult
import org.poplarshift.ports.WeightStore
import org.poplarshift.ports.WeightStoreResult
import java.net.ServerSocket

/** Load poller whose results a test sets for each worker. By default all workers report that they are idle. */
class FakeLoadPoller : LoadPoller {
    val results = mutableMapOf<String, LoadPollResult>()

    override suspend fun poll(worker: Worker): LoadPollResult = results[worker.id] ?: LoadPollResult.Reported(
        LoadReport(worker.id, running = 0, waiting = 0, capacity = worker.capacity),
    )
}

/** A dispatcher with a peers listener on loopback, fake workers and a platform that never responds. */
class TestNode(private val workers: Int, private val peersPort: Int, peerPorts: List<Int> = emptyList()) {
    private val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
    private val catalogue = Catalogue(
        zones = listOf(AvailabilityZone("thimi", "bagmati")),
        organisations = emptyList(),
        upstreams = listOf(
            Upstream(
                id = "block-writer",
                owner = "owner",
                kind = UpstreamKind.MODEL,
                workers = (1..workers).map { Worker("worker$it", "127.0.0.1:$it", "thimi", capacity = 2) },
                models = listOf("model"),
            ),
        ),
    )
    private val settings: NodeSettings = NodeSettings(
        vm = "vm",
        availabilityZone = "thimi",
        callersAddress = "127.0.0.1:0",
        peersAddress = address(peersPort),
        platform = PlatformSettings("", "", ""),
    )
    private val context: NodeContext = NodeContext(
        settings = settings,
        incarnation = "vm-$peersPort",
        vertx = vertx,
        scope = CoroutineScope(SupervisorJob() + vertx.orCreateContext.dispatcher()),
        metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
        platform = PlatformPorts(UnresponsivePlatform, UnresponsivePlatform, UnresponsivePlatform),
    )
    private val server = NodeServer(context, "peers", settings.peersAddress)
    private val configuration = object : ConfigurationStore {
        override val current = MutableStateFlow(Configuration(catalogue = catalogue))
        override val ageMillis = 0L

        override fun findKey(key: String): KeyEntry? = null
    }
    private val directory = object : PeerDirectory {
        override val peers = MutableStateFlow(peerPorts.map { Peer("vm", "vm-$it", "thimi", address(it), false) })
    }
    val poller = FakeLoadPoller()
    val upstream = catalogue.upstreams.single()
    val dispatcher: DefaultUpstreamDispatcher = DefaultUpstreamDispatcher(
        context = context,
        configuration = configuration,
        peers = directory,
        peerClient = HttpPeerClient(vertx, settings.outgoingHost),
        peersRouter = server.router,
        settings = DispatchSettings(policy = RoutingPolicyChoice.PowerOfTwo, exclusiveWaitMillis = 3_000),
        poller = poller,
    )

    suspend fun start(): Unit = run {
        dispatcher.start()
        server.listen()
    }

    /** Runs [block] on the node's event loop. */
    suspend fun <T> run(block: suspend CoroutineScope.() -> T): T =
        withContext(context.scope.coroutineContext) { block() }

    suspend fun close() {
        context.scope.cancel()
        vertx.close().coAwait()
    }

    private object UnresponsivePlatform : LogService, VmList, WeightStore {
        override suspend fun append(stream: String, record: String): AppendResult = awaitCancellation()

        override suspend fun read(stream: String, fromOffset: Long, maximumRecords: Int, waitMillis: Long): ReadResult =
            awaitCancellation()

        override suspend fun read(): VmListResult = awaitCancellation()

        override suspend fun reserveLoad(model: String): WeightStoreResult = awaitCancellation()
    }

    companion object {
        fun address(port: Int): String = "127.0.0.1:$port"

        fun freePort(): Int = ServerSocket(0).use { it.localPort }
    }
}
