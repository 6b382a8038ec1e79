package org.poplarshift.standins.worker

import io.vertx.core.Vertx
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.standins.PlatformHeaders
import org.poplarshift.standins.http.monotonicMillis

/**
 * A worker of the users' platform that can misbehave at the level of bytes.
 *
 * Must be used on one event loop.
 *
 * @param isEngine whether responses are streams
 * @param chooseFault decides for each request how the worker responds
 * @param onRun called when a run starts
 */
class RegisteredWorker(
    private val vertx: Vertx,
    val id: String,
    private val isEngine: Boolean,
    private val slots: Int,
    private val chooseFault: (ReceivedRequest) -> ResponseFault,
    private val onRun: (WorkerRun) -> Unit,
) {
    private val sockets = HashSet<NetSocket>()
    private var server: NetServer? = null
    private var runs = 0

    /** Number of requests that are running. */
    var running = 0
        private set

    /** Whether responses state that the worker leaves. */
    var isLeaving = false

    /** Time in milliseconds that a response, or the time between two events, takes. */
    var paceMillis = DEFAULT_PACE_MILLIS

    /** Port of the listener. */
    var port = 0
        private set

    /** Starts accepting connections; a restart uses the same port. */
    suspend fun listen(host: String) {
        val listening = vertx.createNetServer().connectHandler(::accept).listen(port, host).coAwait()
        server = listening
        port = listening.actualPort()
    }

    /** Closes the listener and all connections, as a crash does. */
    suspend fun crash() {
        server?.close()?.coAwait()
        server = null
        sockets.toList().forEach { it.close() }
    }

    private fun accept(socket: NetSocket) {
        sockets += socket
        val connection = WorkerConnection(socket)
        socket.closeHandler {
            sockets -= socket
            connection.isOpen = false
        }
        socket.exceptionHandler { connection.isOpen = false }
        val parser = RequestParser()
        socket.handler { bytes -> parser.add(bytes).forEach { serve(connection, it) } }
    }

    private fun serve(connection: WorkerConnection, request: ReceivedRequest) {
        connection.writePending()
        val requestId = request.headers[PlatformHeaders.REQUEST_ID]
        val expected = request.headers[PlatformHeaders.EXPECTED_WORKER]
        val fault = chooseFault(request)
        when {
            requestId == null -> connection.write(refusal(BAD_REQUEST, null))
            expected != null && expected != id -> connection.write(refusal(MISDIRECTED, requestId))
            running >= slots || fault == ResponseFault.Refusal -> {
                connection.write(refusal(UNAVAILABLE, requestId))
                if (fault is ResponseFault.Repeated) connection.writeAt(fault.moment, refusal(UNAVAILABLE, null))
            }

            else -> run(connection, request, requestId, fault)
        }
    }

    private fun run(connection: WorkerConnection, request: ReceivedRequest, requestId: String, fault: ResponseFault) {
        val run = WorkerRun(
            worker = id,
            requestId = requestId,
            stamp = "$id.${++runs}.$requestId",
            startMillis = monotonicMillis(),
            organisation = request.headers[PlatformHeaders.ORGANISATION],
            resumeAfter = request.headers[PlatformHeaders.LAST_EVENT]?.toInt() ?: 0,
            request = request,
        )
        running++
        onRun(run)
        RunResponse(vertx, connection, run, isEngine, fault, ::head) { paceMillis }.send { running-- }
    }

    private fun refusal(status: Int, requestId: String?): String =
        head(status, requestId, "${PlatformHeaders.NOT_RUN}: 1\r\nContent-Length: 0\r\n")

    private fun head(status: Int, requestId: String?, headers: String): String = buildString {
        append("HTTP/1.1 $status Status\r\n")
        requestId?.let { append("${PlatformHeaders.REQUEST_ID}: $it\r\n") }
        append("${PlatformHeaders.WORKER}: $id\r\nX-Poplarshift-Server-Load: $running,0,$slots\r\n")
        if (isLeaving) append("Server-Leaving: 1\r\n")
        append(headers).append("\r\n")
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val DEFAULT_PACE_MILLIS = 15L
    }
}
