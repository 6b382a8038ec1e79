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
import org.poplarshift.serving.ingress.BodyReceipt
import org.poplarshift.serving.ingress.ClientContext
import org.poplarshift.serving.ingress.ClientFault
import org.poplarshift.serving.ingress.ClientGate
import org.poplarshift.serving.ingress.Refusal
import org.poplarshift.serving.ingress.RequestBody

/**
 * HTTP server for messages of other nodes.
 *
 * Messages have a bounded size. Responds with status 400 if the handler can't decode the message or if none is registered for the path,
 * and with status 500 if the handler fails.
 */
class PeerServer(private val vertx: Vertx, private val tasks: BackgroundTasks, private val clients: ClientContext) {
    private val gate = ClientGate(PORT, clients, CONNECTION_SHARE)
    private val handlers = HashMap<String, suspend (String) -> String?>()
    private val socketHandlers = HashMap<String, (String, PeerSocket) -> Unit>()
    private val upgradeHandlers = HashMap<String, (String, HttpServerRequest) -> Unit>()

    /** Registers [handler] for [path]. It returns the response body, or null if it can't decode the message. */
    fun on(path: String, handler: suspend (String) -> String?) {
        handlers[path] = handler
    }

    /** Registers [handler] for sockets whose path begins with [prefix]. It receives the rest of the path. */
    fun onSocket(prefix: String, handler: (String, PeerSocket) -> Unit) {
        socketHandlers[prefix] = handler
    }

    /**
     * Registers [handler] for requests to change the protocol of their connection whose path begins with [prefix]. It receives
     * the rest of the path.
     */
    fun onUpgrade(prefix: String, handler: (String, HttpServerRequest) -> Unit) {
        upgradeHandlers[prefix] = handler
    }

    /** Starts to accept connections at [address], an IP address and port. */
    suspend fun listen(address: String) {
        val socket = SocketAddresses.parse(address)
        val options = HttpServerOptions()
            .setHost(socket.host())
            .setPort(socket.port())
            .setTcpNoDelay(true)
            // Otherwise a connection is reported only with its first request.
            .setHttp2ClearTextEnabled(false)
            .setPerMessageWebSocketCompressionSupported(false)
            .setPerFrameWebSocketCompressionSupported(false)
        vertx.createHttpServer(options)
            .connectionHandler { connection ->
                connection.exceptionHandler { logger.debug { "peer: a connection failed: ${it.message}" } }
                gate.accept(connection)
            }
            .webSocketHandler { accept(it) }
            .requestHandler { receive(it) }
            .listen()
            .coAwait()
            .also { gate.start(vertx, socket, it.actualPort()) }
    }

    private fun receive(request: HttpServerRequest) {
        val upgrade = upgradeHandlers.entries.firstOrNull { request.path().startsWith(it.key) }
        if (upgrade != null) return upgrade.value(request.path().removePrefix(upgrade.key), request)
        val isKnown = request.path() in handlers
        val body = RequestBody(request, MAXIMUM_MESSAGE_BYTES, isKnown, clients.account, owners = emptyList())
        gate.find(request.connection())?.body = body
        request.exceptionHandler { body.drop(ClientFault.BODY_TIMEOUT) }
        tasks.launchOnce("peer message", CoroutineStart.UNDISPATCHED, { respondFailed(request) }) {
            try {
                when (val receipt = body.await()) {
                    is BodyReceipt.Complete -> respond(request, receipt.bytes.toString())
                    is BodyReceipt.Dropped -> refuse(request, receipt.fault)
                }
            } finally {
                body.release()
            }
        }
    }

    private fun refuse(request: HttpServerRequest, fault: ClientFault) {
        if (request.response().closed()) return
        clients.recorder.record(PORT, fault)
        val status = Refusal.incompleteBody(fault).status
        request.response().setStatusCode(status).putHeader("Connection", "close").end()
        gate.end(request.connection())
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
        private const val PORT = "peers"

        // A connection from each of the largest known number of nodes, and one for messages of its scheduler.
        private const val CONNECTION_SHARE = 0.25

        // Records that are appended through this node take the most: 2 MiB in one call, and a third more in Base64.
        private const val MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024

        /** Status of the response when the handler has failed. */
        const val INTERNAL_ERROR = 500
    }
}
