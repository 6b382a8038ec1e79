package org.poplarshift.serving.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.serving.http.SocketAddresses

/** An HTTP server that responds with a status that depends on the path and a text that depends on path and query, both without I/O. */
class StatusServer(
    private val vertx: Vertx,
    private val gate: ClientGate,
    private val text: (String) -> String = { "" },
    private val status: (String) -> Int,
) {
    /** Starts accepting connections at [address], with port 0 at a port that the system chooses. Returns the port. */
    suspend fun listen(address: String): Int {
        val socket = SocketAddresses.parse(address)
        val options = HttpServerOptions()
            .setHost(socket.host())
            .setPort(socket.port())
            .setMaxInitialLineLength(ClientLimits.REQUEST_LINE_BYTES)
            .setHttp2ClearTextEnabled(false)
        return vertx.createHttpServer(options)
            .connectionHandler { connection ->
                connection.exceptionHandler { logger.debug { "status: a connection failed: ${it.message}" } }
                gate.accept(connection)
            }
            .requestHandler { request ->
                request.response().setStatusCode(status(request.path().orEmpty())).end(text(request.uri().orEmpty()))
            }
            .listen()
            .coAwait()
            .actualPort()
            .also { gate.start(vertx, socket, it) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
