package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.ServerWebSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineStart
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.http.SocketAddresses

/**
 * HTTP server for messages of other nodes.
 *
 * Responds with status 400 if the handler can't decode the message or if none is registered for the path,
 * and with status 500 if the handler fails.
 */
class PeerServer(private val vertx: Vertx, private val tasks: BackgroundTasks) {
    private val handlers = HashMap<String, suspend (String) -> String?>()
    private val socketHandlers = HashMap<String, (String, PeerSocket) -> Unit>()

    /** Registers [handler] for [path]. It returns the response body, or null if it can't decode the message. */
    fun on(path: String, handler: suspend (String) -> String?) {
        handlers[path] = handler
    }

    /** Registers [handler] for sockets whose path begins with [prefix]. It receives the rest of the path. */
    fun onSocket(prefix: String, handler: (String, PeerSocket) -> Unit) {
        socketHandlers[prefix] = handler
    }

    /** Starts to accept connections at [address], an IP address and port. */
    suspend fun listen(address: String) {
        val socket = SocketAddresses.parse(address)
        val options = HttpServerOptions()
            .setHost(socket.host())
            .setPort(socket.port())
            .setTcpNoDelay(true)
            .setPerMessageWebSocketCompressionSupported(false)
            .setPerFrameWebSocketCompressionSupported(false)
        vertx.createHttpServer(options)
            .webSocketHandler { accept(it) }
            .requestHandler { request ->
                request.body().onSuccess { body ->
                    tasks.launchOnce("peer message", CoroutineStart.UNDISPATCHED, { respondFailed(request) }) {
                        respond(request, body.toString())
                    }
                }
            }
            .listen()
            .coAwait()
    }

    private fun accept(socket: ServerWebSocket) {
        val entry = socketHandlers.entries.firstOrNull { socket.path().startsWith(it.key) }
        if (entry == null) {
            socket.close()
        } else {
            entry.value(socket.path().removePrefix(entry.key), PeerSocket(socket))
        }
    }

    private suspend fun respond(request: HttpServerRequest, body: String) {
        val responseBody = handlers[request.path()]?.invoke(body)
        val response = request.response()
        when {
            response.closed() -> logger.debug { "peer: connection closed before the response to ${request.path()}" }
            responseBody == null -> response.setStatusCode(BAD_REQUEST).end()
            else -> response.end(responseBody)
        }
    }

    // The sender would otherwise wait until its time limit.
    private fun respondFailed(request: HttpServerRequest) {
        val response = request.response()
        if (!response.ended() && !response.closed()) response.setStatusCode(INTERNAL_ERROR).end()
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private const val BAD_REQUEST = 400

        /** Status of the response when the handler has failed. */
        const val INTERNAL_ERROR = 500
    }
}
