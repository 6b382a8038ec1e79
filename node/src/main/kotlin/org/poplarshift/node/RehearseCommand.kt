package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.poplarshift.node.settings.LogFormat
import org.poplarshift.platform.PlatformPorts
import org.poplarshift.platform.PlatformSettings
import org.poplarshift.serving.ServingNode
import picocli.CommandLine.Command
import java.net.BindException
import java.net.ServerSocket
import java.util.concurrent.Callable

/**
 * Starts a node on loopback with an unreachable log, sends it requests and exits.
 *
 * The build runs it to record the classes of a node in a class data sharing archive, which shortens later starts.
 */
@Command(
    name = "rehearse",
    description = ["Starts a node on loopback without a log and exits; the build records its classes."],
    mixinStandardHelpOptions = true,
)
class RehearseCommand : Callable<Int> {
    override fun call(): Int {
        Logging.configure(LogFormat.JSON)
        val vertx = Vertx.vertx(ServeCommand.vertxOptions())
        val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
        val settings = settings()
        runBlocking {
            val node = ServingNode(vertx, scope, settings.toServingSettings(), PlatformPorts(vertx, settings))
            scope.async {
                node.start()
                delay(STARTUP_WAIT_MILLIS)
                request(vertx, settings.callers)
                request(vertx, settings.readiness)
            }.await()
        }
        return 0
    }

    private suspend fun request(vertx: Vertx, address: String) {
        val options = RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(LOOPBACK)
            .setPort(address.substringAfter(':').toInt())
            .setURI("/-/ready")
        val client = vertx.createHttpClient()
        val response = client.request(options).compose {
            it.send(Buffer.buffer("rehearsal"))
        }.coAwait()
        response.body().coAwait()
        client.close().coAwait()
    }

    private fun settings(): PlatformSettings {
        val ports = freePorts()
        return PlatformSettings(
            name = "rehearsal",
            zone = "rehearsal",
            host = LOOPBACK,
            processorShare = 1.0,
            processorSpeed = 1.0,
            callers = "$LOOPBACK:${ports[0]}",
            readiness = "$LOOPBACK:${ports[1]}",
            firstFreePort = ports[2],
            retentionSeconds = 1.0,
            shutdownSeconds = 2.0,
            log = PlatformSettings.LogSettings(
                address = "$LOOPBACK:${ports[3]}",
                recordBytes = 1_024,
                callBytes = 2_048,
                partitions = 1,
                shortestMembershipMillis = 1_000,
            ),
        )
    }

    // The node uses the third port and the next one. Another process may bind a port before the node does, and then the
    // build fails. This is rare, because the system allocates free ports to each process in a different order.
    private fun freePorts(): List<Int> {
        while (true) {
            val sockets = List(PORT_COUNT) { ServerSocket(0) }
            val ports = sockets.map { it.localPort }
            val isNextFree = isFree(ports[2] + 1)
            sockets.forEach { it.close() }
            if (isNextFree) return ports
        }
    }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port).use { true }
    } catch (exception: BindException) {
        logger.debug { "rehearse: port $port is in use: ${exception.message}" }
        false
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val LOOPBACK = "127.0.0.1"
        const val PORT_COUNT = 4

        // Long enough for the first attempts to reach the log.
        const val STARTUP_WAIT_MILLIS = 700L
    }
}
