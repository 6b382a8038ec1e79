package org.poplarshift.serving.ingress

import com.sun.management.UnixOperatingSystemMXBean
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.util.AttributeKey
import io.vertx.core.Context
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.core.net.SocketAddress
import io.vertx.kotlin.coroutines.coAwait
import java.io.IOException
import java.lang.management.ManagementFactory

/**
 * Bounds the connections of the clients at one port, and what each of them takes.
 *
 * @param connectionShare share of the descriptors of the process that the connections of the port may take
 * @param currentLimits the limits in force
 */
class ClientGate(
    internal val port: String,
    clients: ClientContext,
    connectionShare: Double,
    private val currentLimits: () -> ClientLimits = { ClientLimits.DEFAULT },
) {
    internal val clock = clients.clock
    internal val account = clients.account
    internal val recorder = clients.recorder
    private var context: Context? = null
    private val limiter: AcceptLimiter by lazy {
        AcceptLimiter(maximumConnections + ACCEPTED_BEYOND) {
            context?.runOnContext { recorder.record(this.port, ClientFault.TOO_MANY_CONNECTIONS) }
        }
    }
    private val connections = LinkedHashSet<ClientConnection>()
    private val maximumConnections = maximumConnections(connectionShare)

    internal val limits: ClientLimits
        get() = currentLimits()

    /** Starts to enforce the limits at the listening [address], whose port is [port]. */
    suspend fun start(vertx: Vertx, address: SocketAddress, port: Int) {
        context = vertx.getOrCreateContext()
        // The channel that accepts connections is known by the first one only. A burst must not be that first one.
        try {
            val client = vertx.createNetClient()
            client.connect(port, address.host()).coAwait().close()
            client.close()
        } catch (exception: IOException) {
            logger.warn { "ingress: no connection to the own port $port: ${exception.message}" }
        }
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS) {
            val nowMillis = clock.millis()
            connections.toList().forEach { it.check(nowMillis) }
        }
    }

    /** Takes the accepted [connection] under control, or closes one if there are too many. */
    fun accept(connection: HttpConnection) {
        val context = (connection as HttpServerConnection).channelHandlerContext()
        val channel = context.channel()
        val acceptor = channel.parent().pipeline()
        if (acceptor.get(LIMITER) == null) acceptor.addFirst(LIMITER, limiter)
        if (connections.size >= maximumConnections && !makeRoom()) {
            recorder.record(port, ClientFault.TOO_MANY_CONNECTIONS)
            // Past the handler of the server, which would close the connection later.
            context.close()
            return
        }
        channel.config().setRecvByteBufAllocator(
            AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES),
        )
        val client = ClientConnection(this, channel)
        channel.attr(CLIENT).set(client)
        connections += client
        client.install(context)
    }

    /** Closes [connection] after what has been written, so that the client can receive it. */
    fun end(connection: HttpConnection) {
        find(connection)?.end()
    }

    /** The connection that [connection] stands for, or null if it was not accepted. */
    internal fun find(connection: HttpConnection): ClientConnection? =
        (connection as HttpServerConnection).channelHandlerContext().channel().attr(CLIENT).get()

    internal fun remove(connection: ClientConnection) {
        connections -= connection
    }

    // The connection that has been idle for the longest time is the least likely to be used again.
    private fun makeRoom(): Boolean {
        val idle = connections.filter { it.isIdle || it.isEnding }.minByOrNull { it.activeMillis } ?: return false
        connections -= idle
        idle.giveUp(ClientFault.TOO_MANY_CONNECTIONS)
        return true
    }

    private companion object {
        val CLIENT: AttributeKey<ClientConnection> = AttributeKey.valueOf("org.poplarshift.client")
        val logger = KotlinLogging.logger {}
        const val LIMITER = "limiter"

        // New connections that may take the place of idle ones at the same time.
        const val ACCEPTED_BEYOND = 16
        const val CHECK_INTERVAL_MILLIS = 250L
        const val MINIMUM_READ_BYTES = 512
        const val INITIAL_READ_BYTES = 2_048

        // Each connection may hold one buffer of this size while its client does not read responses.
        const val MAXIMUM_READ_BYTES = 16_384

        // More heap than the objects of a connection and of its requests take.
        const val HEAP_BYTES_PER_CONNECTION = 32_768L
        const val USUAL_DESCRIPTORS = 1_024L

        fun maximumConnections(share: Double): Int {
            val system = ManagementFactory.getOperatingSystemMXBean() as? UnixOperatingSystemMXBean
            val descriptors = ((system?.maxFileDescriptorCount ?: USUAL_DESCRIPTORS) * share).toLong()
            return minOf(descriptors, Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_CONNECTION).toInt()
        }
    }
}
