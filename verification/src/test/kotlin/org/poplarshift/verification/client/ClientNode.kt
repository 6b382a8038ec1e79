package org.poplarshift.verification.client

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.poplarshift.standins.caller.CallerUris
import org.poplarshift.standins.store.OperatorRecords
import org.poplarshift.standins.store.StoreStandIn
import org.poplarshift.standins.vm.VmProcess
import org.poplarshift.standins.vm.VmSettings
import org.poplarshift.verification.soak.PortRange
import org.poplarshift.verification.soak.SoakLedger
import org.poplarshift.verification.soak.SoakOrganisations
import org.poplarshift.verification.soak.SoakWorkers
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.random.Random

/** The real program as a process, with the store and the workers in this process. */
class ClientNode(private val name: String, private val size: NodeSize) : AutoCloseable {
    private val root = File(checkNotNull(System.getProperty("poplarshift.root")))
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(vertx.dispatcher())
    private val store = StoreStandIn(vertx, Random(SEED))
    private val workers = SoakWorkers(vertx, Random(SEED), store, SoakLedger())
    private val ports = PortRange.reserve()
    private lateinit var settings: VmSettings
    private lateinit var process: VmProcess

    /** Whether the process runs. */
    val isAlive: Boolean
        get() = process.isAlive

    /** Resident memory in MiB. */
    val residentMegabytes: Int
        get() = File("/proc/${process.pid}/status").readLines().first { it.startsWith("VmRSS:") }
            .filter { it.isDigit() }.toInt() / KIBIBYTES_PER_MEBIBYTE

    /** Number of open file descriptors. */
    val descriptors: Int
        get() = File("/proc/${process.pid}/fd").list().orEmpty().size

    /** Starts everything and waits until the node serves an ordinary request. */
    fun start() {
        val configuration = SoakOrganisations().nextConfiguration(size.maximumBodyBytes)
        val storePort = onEventLoop {
            store.put(OperatorRecords.CONFIGURATION_TOPIC, OperatorRecords.CONFIGURATION_KEY, configuration)
            workers.start(SoakOrganisations.PLAIN_SERVICE)
            workers.start(SoakOrganisations.ENGINE_SERVICE)
            workers.renewEntries()
            store.listen(name, HOST)
        }
        settings = VmSettings(
            name = name.filter { it.isLetterOrDigit() || it == ' ' }.replace(' ', '-'),
            zone = SoakWorkers.ZONES.first(),
            host = HOST,
            firstPort = ports.take(PORTS_PER_NODE),
            storeAddress = "$HOST:$storePort",
            directory = File(root, "target/clients").apply { mkdirs() },
            processors = PROCESSORS,
            options = listOf("-Xmx${size.heapMegabytes}m"),
            descriptors = size.descriptors,
        )
        File(settings.directory, "${settings.name}.log").delete()
        process = VmProcess(settings, File(root, "target/poplarshift-node/poplarshift-node.jar"))
        process.start()
        check(servesOrdinaryRequest()) {
            "no start, exit code ${process.exitCode}; see ${settings.directory}/${settings.name}.log"
        }
    }

    /** Address of the port of [target]. */
    fun addressOf(target: ClientTarget): InetSocketAddress = InetSocketAddress(
        HOST,
        when (target.port) {
            ClientTarget.Port.CALLERS -> settings.callersPort
            ClientTarget.Port.READINESS -> settings.readinessPort
            ClientTarget.Port.PEERS -> settings.peerPort
        },
    )

    /** Whether an ordinary request is answered, at the latest at its last attempt. */
    fun servesOrdinaryRequest(): Boolean = (1..ATTEMPTS).any {
        if (it > 1) Thread.sleep(ATTEMPT_PAUSE_MILLIS)
        isAlive && send(ClientTarget.ROUTE, "ordinary-$it", "x".encodeToByteArray()) == OK
    }

    /** Sends a request with [body] and returns the status of its complete response, or null when there is none. */
    fun send(target: ClientTarget, id: String, body: ByteArray): Int? = try {
        Socket().use { socket ->
            socket.connect(addressOf(target), ATTEMPT_MILLIS)
            socket.soTimeout = ATTEMPT_MILLIS
            val fields =
                arrayOf("${ClientTarget.REQUEST_ID}: $id", "Content-Length: ${body.size}", "Connection: close")
            socket.getOutputStream().write(target.head(*fields) + body)
            val response = socket.getInputStream().readAllBytes().decodeToString()
            response.substringAfter(' ', "").substringBefore(' ').toIntOrNull()
        }
    } catch (exception: IOException) {
        println("request $id to ${settings.name}: ${exception.message}")
        null
    }

    /** Submits items whose results are large and waits for all results. */
    fun submitItems() {
        val items = (1..ITEMS).map { "item-$it".padEnd(ITEM_ID_LENGTH, '-') to "/run" }
        val body = OperatorRecords.submission(items).encodeToByteArray()
        check(send(ClientTarget.BATCH, "s", body) == ACCEPTED) { "the submission is not accepted" }
        val last = ClientTarget.RESULTS.copy(path = CallerUris.results("s", after = ITEMS / 2))
        repeat(ATTEMPTS) {
            Thread.sleep(ATTEMPT_PAUSE_MILLIS)
            if (send(last, "results-$it", ByteArray(0)) == OK) return
        }
    }

    override fun close() {
        process.close()
        ports.close()
        onEventLoop { vertx.close() }
    }

    private fun <T> onEventLoop(action: suspend () -> T): T = runBlocking { scope.async { action() }.await() }

    private companion object {
        const val SEED = 1L
        const val HOST = "127.0.0.1"
        const val PORTS_PER_NODE = 4
        const val KIBIBYTES_PER_MEBIBYTE = 1_024
        const val OK = 200
        const val ACCEPTED = 202

        // As on the smallest VM. The number of processors determines the number of arenas of the allocator.
        const val PROCESSORS = 1

        // A hung node is given up after 18 s.
        const val ATTEMPTS = 6
        const val ATTEMPT_MILLIS = 2_500
        const val ATTEMPT_PAUSE_MILLIS = 500L
        const val ITEMS = 200
        const val ITEM_ID_LENGTH = 400
    }
}
