package org.poplarshift.standins.http

import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.VerticleBase
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.Router
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * An HTTP server that can stop responding on open connections and can be restarted on the same port.
 *
 * All requests are handled on one event loop, so that the handlers need no locks.
 */
internal class StandInServer(private val vertx: Vertx, private val host: String, private val requestedPort: Int) {
    private val eventLoop = EventLoopVerticle()
    private val connections = ConcurrentHashMap.newKeySet<HttpConnection>()
    private val silentConnections = ConcurrentHashMap.newKeySet<HttpConnection>()

    @Volatile
    private var server: HttpServer? = null

    @Volatile
    var port: Int = requestedPort
        private set

    /** Requests whose remote IP address starts with one of these prefixes get no response. */
    @Volatile
    var partitionedSources: List<String> = emptyList()

    /** Starts the listener with [router]. A restart uses the port of the first start. */
    suspend fun start(router: Router) {
        val options = HttpServerOptions().setHost(host).setPort(port).setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
        val created = vertx.createHttpServer(options)
        created.connectionHandler { connection -> track(connection) }
        created.requestHandler { request -> if (isReachable(request)) router.handle(request) }
        if (!eventLoop.isDeployed) vertx.deployVerticle(eventLoop).coAwait()
        val listening = Promise.promise<HttpServer>()
        eventLoop.run { created.listen().onComplete(listening) }
        server = listening.future().coAwait()
        port = created.actualPort()
    }

    /** Closes the listener and all connections. */
    suspend fun stop() {
        server?.close()?.coAwait()
        server = null
    }

    /** Permanently stops responses on all open connections but [except]. New connections work. */
    fun silenceEstablished(except: HttpConnection?) {
        silentConnections += connections.filter { it != except }
    }

    /** Whether [connection] is silenced, so that nothing may be written to it. */
    fun isSilent(connection: HttpConnection): Boolean = connection in silentConnections

    /** Runs [action] on the event loop of this server and returns once it has run. */
    fun run(action: () -> Unit) = eventLoop.run(action)

    private fun track(connection: HttpConnection) {
        connections += connection
        connection.closeHandler {
            connections -= connection
            silentConnections -= connection
        }
    }

    private fun isReachable(request: HttpServerRequest): Boolean {
        if (isSilent(request.connection())) return false
        if (request.path() == FAULTS_PATH) return true
        val source = request.remoteAddress()?.hostAddress().orEmpty()
        return partitionedSources.none { source.startsWith(it) }
    }

    /**
     * Provides a separate event loop for each server. `Vertx.orCreateContext` would return the same event loop to all
     * servers that start on the same thread.
     */
    private class EventLoopVerticle : VerticleBase() {
        @Volatile
        private var thread: Thread? = null

        val isDeployed: Boolean
            get() = context != null

        override fun start(): Future<*> {
            thread = Thread.currentThread()
            return Future.succeededFuture<Unit>()
        }

        fun run(action: () -> Unit) {
            // A request handler runs in a context of its own on this thread, so contexts can't be compared.
            if (Thread.currentThread() === thread) return action()
            val done = CompletableFuture<Unit>()
            context.runOnContext {
                try {
                    done.complete(action())
                } catch (exception: Exception) {
                    done.completeExceptionally(exception)
                }
            }
            done.get(RUN_SECONDS, TimeUnit.SECONDS)
        }
    }

    private companion object {
        const val MAXIMUM_LINE_BYTES = 16_384
        const val FAULTS_PATH = "/faults"
        const val RUN_SECONDS = 5L
    }
}
