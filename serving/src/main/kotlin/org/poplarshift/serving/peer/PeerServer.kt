package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.poplarshift.serving.http.SocketAddresses

/**
 * HTTP server for messages of other nodes.
 *
 * Responds with status 400 if the handler can't decode the message or if none is registered for the path.
 */
class PeerServer(private val vertx: Vertx, private val scope: CoroutineScope) {
    private val handlers = HashMap<String, suspend (String) -> String?>()

    /** Registers [handler] for [path]. It returns the response body, or null if it can't decode the message. */
    fun on(path: String, handler: suspend (String) -> String?) {
        handlers[path] = handler
    }

    /** Starts to accept connections at [address], an IP address and port. */
    suspend fun listen(address: String) {
        val socket = SocketAddresses.parse(address)
        vertx.createHttpServer(HttpServerOptions().setHost(socket.host()).setPort(socket.port()))
            .requestHandler { request ->
                request.body().onSuccess { body ->
                    scope.launch(start = CoroutineStart.UNDISPATCHED) { respond(request, body.toString()) }
                }
            }
            .listen()
            .coAwait()
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

    private companion object {
        val logger = KotlinLogging.logger {}
        const val BAD_REQUEST = 400
    }
}
