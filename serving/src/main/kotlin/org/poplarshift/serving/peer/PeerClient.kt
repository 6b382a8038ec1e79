package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.core.http.WebSocketClientOptions
import io.vertx.core.http.WebSocketConnectOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.http.SocketAddresses

/** Sends messages to other nodes. */
class PeerClient(vertx: Vertx, localHost: String) {
    private val socketClient = vertx.createWebSocketClient(
        WebSocketClientOptions()
            .setLocalAddress(localHost)
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setTcpNoDelay(true)
            .setMaxConnections(MAXIMUM_SOCKETS_PER_PEER),
    )
    private val client = vertx.createHttpClient(
        HttpClientOptions().setLocalAddress(
            localHost,
        ).setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_PEER).setMaxWaitQueueSize(CONNECTIONS_PER_PEER),
    )

    /**
     * Sends [body] to [peer]. Returns the response body, or null if the request or its handler fails or if both together
     * exceed [timeoutMillis].
     */
    suspend fun post(peer: FleetMember, path: String, body: String, timeoutMillis: Long): String? {
        val socket = SocketAddresses.parse(peer.peerAddress)
        val options = RequestOptions().setMethod(
            HttpMethod.POST,
        ).setHost(socket.host()).setPort(socket.port()).setURI(path)
        var isComplete = false
        val pending = client.request(options)
        try {
            val response = withTimeoutOrNull(timeoutMillis) {
                pending.coAwait().send(Buffer.buffer(body)).compose { response ->
                    check(response.statusCode() != PeerServer.INTERNAL_ERROR) { "the node's handler has failed" }
                    response.body()
                }.coAwait().toString()
            }
            isComplete = response != null
            return response
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.debug { "peer: request to $path of node ${peer.name} failed: ${exception.message}" }
            return null
        } finally {
            // A connection without a response may be dead. Closing it makes the next message use a new connection.
            // The same holds for one that is established after the time limit.
            if (!isComplete) pending.onSuccess { it.reset() }
        }
    }

    /** Opens a socket to [peer]. Returns null if that fails or takes longer than [timeoutMillis]. */
    suspend fun openSocket(peer: FleetMember, path: String, timeoutMillis: Long): PeerSocket? {
        val address = SocketAddresses.parse(peer.peerAddress)
        val options = WebSocketConnectOptions().setHost(address.host()).setPort(address.port()).setURI(path)
        val pending = socketClient.connect(options)
        val socket = try {
            withTimeoutOrNull(timeoutMillis) { pending.coAwait() }
        } catch (exception: CancellationException) {
            pending.onSuccess { it.close() }
            throw exception
        } catch (exception: Exception) {
            logger.debug { "peer: socket to $path of node ${peer.name} failed: ${exception.message}" }
            return null
        }
        if (socket == null) pending.onSuccess { it.close() }
        return socket?.let { PeerSocket(it) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A hundred times the latency between zones.
        const val CONNECT_TIMEOUT_MILLIS = 300

        // One for each service that has a scheduler.
        const val MAXIMUM_SOCKETS_PER_PEER = 32

        // Announcements, token requests and several waiting reads of the log.
        const val CONNECTIONS_PER_PEER = 16
        const val KEEP_ALIVE_SECONDS = 30
    }
}
