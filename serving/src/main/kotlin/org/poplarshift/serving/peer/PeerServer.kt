package org.poplarshift.serving.peer

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.serving.http.SocketAddresses

/** Answers messages of other nodes. A handler returns null for a message that it can't read. */
class PeerServer(private val vertx: Vertx) {
    private val handlers = HashMap<String, (String) -> String?>()

    /** Passes messages to [path] on to [handler]. */
    fun on(path: String, handler: (String) -> String?) {
        handlers[path] = handler
    }

    /** Starts to accept connections at [address]. */
    suspend fun listen(address: String) {
        val socket = SocketAddresses.parse(address)
        vertx.createHttpServer(HttpServerOptions().setHost(socket.host()).setPort(socket.port()))
            .requestHandler { request ->
                request.body().onSuccess { body ->
                    val answer = handlers[request.path()]?.invoke(body.toString())
                    if (answer ==
                        null
                    ) {
                        request.response().setStatusCode(BAD_REQUEST).end()
                    } else {
                        request.response().end(answer)
                    }
                }
            }
            .listen()
            .coAwait()
    }

    private companion object {
        const val BAD_REQUEST = 400
    }
}
