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
 * @property softwareVersion version of its software, which its events state
 * @param isEngine whether responses are streams
 * @param chooseFault decides for each request how the worker responds
 * @param onRun called when a run starts
 */
class RegisteredWorker(
    private val vertx: Vertx,
    val id: String,
    val softwareVersion: String,
    private val isEngine: Boolean,
    private val slots: Int,
    private val chooseFault: (ReceivedRequest) -> ResponseFault,
    private val onRun: (WorkerRun) -> Unit,
) {
    private val connections = HashSet<WorkerConnection>()
    private var server: NetServer? = null
    private var runs = 0
    private var newest: WorkerResponse? = null

    /** Number of requests that are running. */
    var running = 0
        private set

    /** Whether responses state that the worker leaves. */
    var isLeaving = false

    /** Time in milliseconds that a response, or the time between two events, takes. */
    var paceMillis = DEFAULT_PACE_MILLIS

    /** Time of the latest start in Unix milliseconds. */
    var startedMillis = 0L
        private set

    /** Port of the listener. */
    var port = 0
        private set

    /** Whether the worker accepts connections. */
    val isListening: Boolean
        get() = server != null

    /** Starts accepting connections at [atPort] or at any port; a restart uses the same port. */
    suspend fun listen(host: String, atPort: Int = port) {
        val listening = vertx.createNetServer().connectHandler(::accept).listen(atPort, host).coAwait()
        server = listening
        port = listening.actualPort()
        startedMillis = System.currentTimeMillis()
    }

    /** Closes the listener and all connections, as a crash does. */
    suspend fun crash() {
        val closing = server
        server = null
        // The server would close the connections in an orderly way.
        connections.toList().forEach { it.close(isReset = it.isUnframed) }
        closing?.close()?.coAwait()
    }

    private fun accept(socket: NetSocket) {
        val connection = WorkerConnection(socket)
        connections += connection
        socket.closeHandler {
            connections -= connection
            connection.isOpen = false
        }
        socket.exceptionHandler { connection.isOpen = false }
        val parser = RequestParser()
        socket.handler { bytes -> parser.add(bytes).forEach { serve(connection, it) } }
    }

    private fun serve(connection: WorkerConnection, request: ReceivedRequest) {
        connection.writePending()
        if (request.uri == REPORT_PATH) return connection.write(report())
        val requestId = request.headers[PlatformHeaders.REQUEST_ID]
        val expected = request.headers[PlatformHeaders.EXPECTED_WORKER]
        val fault = chooseFault(request)
        when {
            requestId == null -> connection.write(refusal(BAD_REQUEST, null).text(WHOLE))
            expected != null && expected != id -> connection.write(refusal(MISDIRECTED, requestId).text(WHOLE))
            running >= slots || isRefusal(fault) -> refuse(connection, requestId, fault)
            else -> run(connection, request, requestId, fault)
        }
    }

    private fun isRefusal(fault: ResponseFault): Boolean = fault == ResponseFault.Refusal ||
        (fault is ResponseFault.Twice && fault.first.content == ResponseForm.Content.REFUSAL)

    // A request that did not run is never followed by a response that says otherwise.
    private fun refuse(connection: WorkerConnection, requestId: String, fault: ResponseFault) {
        val refusal = refusal(UNAVAILABLE, requestId)
        connection.write(refusal.text(WHOLE))
        if (fault is ResponseFault.Twice) connection.writeAt(fault.moment, refusal.text(fault.second))
        connection.remember(refusal)
    }

    private fun run(connection: WorkerConnection, request: ReceivedRequest, requestId: String, fault: ResponseFault) {
        val run = WorkerRun(
            worker = id,
            softwareVersion = softwareVersion,
            requestId = requestId,
            stamp = "$id.${++runs}.$requestId",
            startMillis = monotonicMillis(),
            isEngine = isEngine,
            organisation = request.headers[PlatformHeaders.ORGANISATION],
            resumeAfter = request.headers[PlatformHeaders.LAST_EVENT]?.toInt() ?: 0,
            request = request,
            fault = fault,
        )
        running++
        onRun(run)
        RunResponse(vertx, connection, run, ::response) { paceMillis }.send { running-- }
    }

    private fun report(): String {
        val body = """{"born":$startedMillis,"busy":false,"queued":0,"running":$running}"""
        val head = "HTTP/1.1 $OK Status\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n"
        return "$head\r\n$body"
    }

    private fun refusal(status: Int, requestId: String?) = WorkerResponse(
        status = status,
        requestId = requestId,
        headers = "${headers()}${PlatformHeaders.NOT_RUN}: 1\r\n",
        pieces = emptyList(),
        isStream = false,
    )

    // The head of a second response that is cut in a value or in the reason phrase is completed by the next response; cut in a
    // name, it is no head. Values as long as those of other servers make the first case as frequent as there.
    private fun headers(): String = buildString {
        append("Server: registered-worker/1.0 (stand-in of the users' platform)\r\n")
        append("${PlatformHeaders.WORKER}: $id\r\nX-Poplarshift-Server-Load: $running,0,$slots\r\n")
        if (isLeaving) append("Server-Leaving: 1\r\n")
    }

    private fun response(connection: WorkerConnection, run: WorkerRun, content: ResponseForm.Content): WorkerResponse {
        val headers = "${headers()}${PlatformHeaders.STAMP}: ${run.stamp}\r\n"
        val success by lazy { WorkerResponse(OK, run.requestId, headers, run.pieces(), isEngine) }
        return when (content) {
            ResponseForm.Content.SUCCESS -> success.also { newest = it }
            ResponseForm.Content.FAILURE ->
                WorkerResponse(FAILED, run.requestId, headers, listOf(ResponseContent.failure(run.requestId)), false)

            ResponseForm.Content.REFUSAL -> refusal(UNAVAILABLE, run.requestId)
            ResponseForm.Content.EARLIER -> connection.earlier ?: newest ?: success
        }
    }

    private companion object {
        val WHOLE = ResponseForm(ResponseForm.Content.REFUSAL)
        const val REPORT_PATH = "/-/report"
        const val OK = 200
        const val FAILED = 500
        const val BAD_REQUEST = 400
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val DEFAULT_PACE_MILLIS = 15L
    }
}
