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

/** Answers messages of other nodes. A handler returns null for a message that it can't read. */
class PeerServer(private val vertx: Vertx, private val scope: CoroutineScope) {
    private val handlers = HashMap<String, suspend (String) -> String?>()

    /** Passes messages to [path] on to [handler]. */
    fun on(path: String, handler: suspend (String) -> String?) {
        handlers[path] = handler
    }

    /** Starts to accept connections at [address]. */
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
        val answer = handlers[request.path()]?.invoke(body)
        val response = request.response()
        when {
            response.closed() -> logger.debug { "peer: the asker of ${request.path()} has gone" }
            answer == null -> response.setStatusCode(BAD_REQUEST).end()
            else -> response.end(answer)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val BAD_REQUEST = 400
    }
}
