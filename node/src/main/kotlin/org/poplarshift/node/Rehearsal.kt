package org.poplarshift.node

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.poplarshift.platform.PlatformPorts
import org.poplarshift.platform.PlatformSettings
import org.poplarshift.serving.ListeningPorts
import org.poplarshift.serving.ServingNode
import org.poplarshift.serving.ServingSettings
import java.net.InetSocketAddress
import java.nio.channels.SocketChannel

/**
 * Starts a node on loopback, sends it requests and stops it.
 *
 * The system chooses the ports of the node when it binds them, so that rehearsals at the same time can't take each
 * other's ports. The address of the log is bound for the whole rehearsal and doesn't listen, so that connections to it
 * are refused.
 *
 * @property portsToCall selects the ports that get a request from the ports of the node
 */
internal class Rehearsal(
    private val portsToCall: (ListeningPorts) -> List<Int> = { listOf(it.callers, it.readiness) },
) {
    /** Runs the rehearsal once. */
    suspend fun run(): RehearsalResult = SocketChannel.open().use { logAddress ->
        logAddress.bind(InetSocketAddress(LOOPBACK, SYSTEM_PORT))
        val vertx = Vertx.vertx(ServeCommand.vertxOptions())
        val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
        try {
            scope.async { runOnEventLoop(vertx, scope, logAddress.socket().localPort) }.await()
        } finally {
            scope.cancel()
            vertx.close().coAwait()
        }
    }

    private suspend fun runOnEventLoop(vertx: Vertx, scope: CoroutineScope, logPort: Int): RehearsalResult {
        val settings = settings(logPort)
        val ports = try {
            val node = ServingNode(vertx, scope, servingSettings(settings), PlatformPorts(vertx, settings))
            node.start()
        } catch (exception: Exception) {
            return RehearsalResult.NotStarted(exception)
        }
        delay(STARTUP_WAIT_MILLIS)
        return RehearsalResult.Started(callAll(vertx, portsToCall(ports)))
    }

    private suspend fun callAll(vertx: Vertx, ports: List<Int>): List<Throwable> {
        val client = vertx.createHttpClient()
        return try {
            ports.mapNotNull { failureOfCall(client, it) }
        } finally {
            // Vert.x closes a client that is no longer reachable, and with it the connections of its requests.
            client.close().coAwait()
        }
    }

    private suspend fun failureOfCall(client: HttpClient, port: Int): Throwable? = try {
        withTimeout(CALL_MILLIS) { call(client, port) }
        null
    } catch (exception: Exception) {
        exception
    }

    private suspend fun call(client: HttpClient, port: Int) {
        val options = RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(LOOPBACK)
            .setPort(port)
            .setURI("/-/ready")
        val response = client.request(options).compose { it.send(Buffer.buffer("rehearsal")) }.coAwait()
        response.body().coAwait()
    }

    companion object {
        private const val LOOPBACK = "127.0.0.1"

        // The system chooses a free port when this one is bound.
        private const val SYSTEM_PORT = 0
        private const val SYSTEM_ADDRESS = "$LOOPBACK:$SYSTEM_PORT"

        // Long enough for the first attempts to reach the log.
        private const val STARTUP_WAIT_MILLIS = 700L

        // Bounds the build if a response never comes. Forty rehearsals at once on eight cores exceeded 5 s.
        private const val CALL_MILLIS = 60_000L

        /** Settings of the node whose log is at [logPort]. */
        fun settings(logPort: Int) = PlatformSettings(
            name = "rehearsal",
            zone = "rehearsal",
            host = LOOPBACK,
            processorShare = 1.0,
            processorSpeed = 1.0,
            callers = SYSTEM_ADDRESS,
            readiness = SYSTEM_ADDRESS,
            firstFreePort = SYSTEM_PORT,
            retentionSeconds = 1.0,
            shutdownSeconds = 2.0,
            log = PlatformSettings.LogSettings(
                address = "$LOOPBACK:$logPort",
                recordBytes = 1_024,
                callBytes = 2_048,
                partitions = 1,
                shortestMembershipMillis = 1_000,
            ),
        )

        /** As the platform derives it from [settings], except for the metrics, whose port would be the one after 0. */
        fun servingSettings(settings: PlatformSettings): ServingSettings =
            settings.toServingSettings().copy(metricsAddress = SYSTEM_ADDRESS)
    }
}
