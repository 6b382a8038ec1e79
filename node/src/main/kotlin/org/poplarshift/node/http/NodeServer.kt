package org.poplarshift.node.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.serving.http.SocketAddresses
import java.util.concurrent.TimeUnit

/**
 * One HTTP listener of a node. Components register their routes on [router] before [listen].
 *
 * @param name the name of the listener in log messages
 * @param address IP number and port
 */
class NodeServer(private val context: NodeContext, private val name: String, private val address: String) {
    val router: Router = Router.router(context.vertx)
    private var server: HttpServer? = null
    private var activeRequests = 0

    init {
        router.route().order(ROUTE_ORDER).handler { routing ->
            activeRequests++
            routing.request().exceptionHandler { cause -> log.debug { "server: $name: ${cause.message}" } }
            routing.addEndHandler { activeRequests-- }
            routing.next()
        }
        for ((status, reason) in ROUTER_ERRORS) {
            router.errorHandler(status) {
                it.refuse(ErrorResponse(reason, "the request can't be served", RunStatus.NOT_RUN))
            }
        }
    }

    /** Starts accepting connections. */
    suspend fun listen() {
        val socket = SocketAddresses.parse(address)
        val limits = context.settings.limits
        val options = HttpServerOptions()
            .setHost(socket.host())
            .setPort(socket.port())
            .setMaxInitialLineLength(limits.requestLineBytes)
            .setMaxHeaderSize(limits.headerBytes)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
        server = context.vertx
            .createHttpServer(options)
            .connectionHandler { it.exceptionHandler { cause -> log.debug { "server: $name: ${cause.message}" } } }
            .requestHandler(router)
            .invalidRequestHandler(InvalidRequestHandler(limits))
            .listen()
            .coAwait()
        log.info { "server: $name listens on $address" }
    }

    /**
     * Stops accepting connections and waits without a time limit until the active requests have ended.
     * Connections whose peer does not read the end of its last response are closed after [flushMillis].
     */
    suspend fun close(flushMillis: Long) {
        val listening = server ?: return
        val closed = listening.shutdown(MAXIMUM_DRAIN_HOURS, TimeUnit.HOURS)
        while (activeRequests > 0) delay(POLL_MILLIS)
        withTimeoutOrNull(flushMillis) { closed.coAwait() } ?: listening.close()
        log.info { "server: $name is closed" }
    }

    private companion object {
        const val ROUTE_ORDER = -2
        const val POLL_MILLIS = 20L
        val log = KotlinLogging.logger {}

        // Errors that Vert.x Web detects before a handler runs, such as a path that can't be decoded.
        val ROUTER_ERRORS = mapOf(
            400 to RefusalReason.BAD_REQUEST,
            404 to RefusalReason.UNKNOWN_ROUTE,
            405 to RefusalReason.UNKNOWN_ROUTE,
        )

        // Vert.x closes connections after the shutdown timeout; active requests must not be interrupted.
        const val MAXIMUM_DRAIN_HOURS = 24L
    }
}
