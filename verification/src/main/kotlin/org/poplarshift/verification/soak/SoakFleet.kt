package org.poplarshift.verification.soak

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.VertxException
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.standins.caller.CallerUris
import org.poplarshift.standins.store.OperatorRecords
import org.poplarshift.standins.store.StoreStandIn
import org.poplarshift.standins.vm.VmProcess
import org.poplarshift.standins.vm.VmSettings
import org.poplarshift.standins.worker.ResponseFault
import java.io.IOException
import kotlin.random.Random

/** The nodes as processes, with the store and the workers in this process. Used on one event loop. */
class SoakFleet(private val vertx: Vertx, private val settings: SoakSettings, val ledger: SoakLedger) {
    private val client = vertx.createHttpClient(HttpClientOptions().setConnectTimeout(READINESS_MILLIS.toInt()))
    private val secondResponses = settings.secondResponses.takeIf { it > 0 }
        ?.let { SecondResponsePlan(Random(settings.seed + SECOND_RESPONSE_SEED_OFFSET), it) }
    val store = StoreStandIn(vertx, Random(settings.seed))
    val workers = SoakWorkers(vertx, Random(settings.seed + 1), store, ledger) {
        secondResponses?.next() ?: ResponseFault.None
    }
    val organisations = SoakOrganisations()
    val disturbances = Disturbances()
    val nodes = ArrayList<SoakNode>()
    private val ports = PortRange.reserve()
    private val supervisor = NodeSupervisor(nodes, disturbances, ledger, ::now)

    /** Starts everything and waits until the nodes are ready. */
    suspend fun start() {
        writeConfiguration()
        repeat(ENGINES) { workers.start(SoakOrganisations.ENGINE_SERVICE) }
        repeat(PLAIN_WORKERS) { workers.start(SoakOrganisations.PLAIN_SERVICE) }
        workers.renewEntries()
        settings.directory.mkdirs()
        repeat(settings.nodes) { nodes += createNode(it) }
        supervisor.startAll()
        withTimeoutOrNull(START_MILLIS) {
            while (nodes.any { !it.isReady }) {
                checkReadiness()
                delay(READINESS_MILLIS)
            }
        } ?: error("nodes not ready: ${nodes.filter { !it.isReady }.map { it.name }}; see ${settings.directory}")
    }

    /** Writes the next version of the configuration. */
    fun writeConfiguration() = store.put(
        OperatorRecords.CONFIGURATION_TOPIC,
        OperatorRecords.CONFIGURATION_KEY,
        organisations.nextConfiguration(),
    )

    /** Renews the entries of workers, starts processes that have ended and asks the nodes for readiness. */
    suspend fun maintain() {
        var round = 0
        while (!supervisor.isStopping) {
            delay(READINESS_MILLIS)
            if (round++ % RENEWAL_ROUNDS == 0) workers.renewEntries()
            supervisor.restartEnded()
            checkReadiness()
        }
    }

    /** Kills all processes. None is started afterwards. */
    fun stop() {
        supervisor.stop()
        ports.close()
    }

    private suspend fun checkReadiness() = nodes.forEach { it.isReady = it.process.isAlive && isReady(it) }

    private suspend fun isReady(node: SoakNode): Boolean = withTimeoutOrNull(READINESS_MILLIS) {
        try {
            val options = RequestOptions().setMethod(HttpMethod.GET).setHost(node.settings.host)
                .setPort(node.settings.readinessPort).setURI(CallerUris.READINESS)
            client.request(options).compose { it.send() }.coAwait().statusCode() == OK
        } catch (exception: IOException) {
            logger.debug { "${node.name} is not ready: ${exception.message}" }
            false
        } catch (exception: VertxException) {
            logger.debug { "${node.name} is not ready: ${exception.message}" }
            false
        }
    } ?: false

    private suspend fun createNode(index: Int): SoakNode {
        val host = "127.0.0.1"
        val name = "node-$index"
        val link = StoreLink(vertx, host, store.listen(name, host))
        val vm = VmSettings(
            name = name,
            zone = SoakWorkers.ZONES[index % SoakWorkers.ZONES.size],
            host = host,
            firstPort = ports.take(PORTS_PER_NODE),
            storeAddress = "$host:${link.listen()}",
            directory = settings.directory,
            processors = settings.processors,
        )
        return SoakNode(vm, VmProcess(vm, settings.program), link)
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private const val SECOND_RESPONSE_SEED_OFFSET = 3
        private const val ENGINES = 5
        private const val PLAIN_WORKERS = 3
        private const val START_MILLIS = 30_000L
        private const val READINESS_MILLIS = 300L
        private const val RENEWAL_ROUNDS = 4
        private const val PORTS_PER_NODE = 4
        private const val OK = 200

        /** Monotonic time in milliseconds. */
        fun now(): Long = System.nanoTime() / 1_000_000
    }
}
