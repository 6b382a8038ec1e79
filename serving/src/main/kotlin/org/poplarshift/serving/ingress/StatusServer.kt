package org.poplarshift.serving.ingress

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.serving.http.SocketAddresses

/** A listener whose answers need no I/O: a status by path, and a text. */
class StatusServer(
    private val vertx: Vertx,
    private val text: () -> String = { "" },
    private val status: (String) -> Int,
) {
    /** Starts to accept connections at [address]. */
    suspend fun listen(address: String) {
        val socket = SocketAddresses.parse(address)
        vertx.createHttpServer(HttpServerOptions().setHost(socket.host()).setPort(socket.port()))
            .requestHandler { request ->
                request.response().setStatusCode(status(request.path().orEmpty())).end(text())
            }
            .listen()
            .coAwait()
    }
}
