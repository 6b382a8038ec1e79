package org.poplarshift.serving.ingress

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import org.poplarshift.serving.forward.CallerSink

/**
 * Writes the response to one HTTP request of a caller.
 *
 * @param onStart called before the response head is sent
 * @param closesConnection whether the response contains the header `Connection: close`
 */
class HttpCallerSink(
    private val request: HttpServerRequest,
    private val onStart: () -> Unit,
    private val closesConnection: () -> Boolean,
) : CallerSink {
    private val response = request.response()

    /** Status of the response, or null when no response has been started. */
    var status: Int? = null
        private set

    override fun respond(status: Int, headers: MultiMap, body: Buffer) {
        if (response.ended() || response.closed()) return
        prepareHead(status, headers)
        response.end(body)
    }

    override fun startStream(status: Int, headers: MultiMap) {
        prepareHead(status, headers)
        response.setChunked(true)
        // Sent before the first event, so that callers learn at once that a worker has accepted the request.
        response.writeHead()
    }

    override suspend fun write(bytes: Buffer) {
        if (response.closed()) return
        response.write(bytes)
        if (!response.writeQueueFull()) return
        val drained = CompletableDeferred<Unit>()
        response.drainHandler { drained.complete(Unit) }
        drained.await()
    }

    override fun end() {
        if (!response.closed()) response.end()
    }

    override fun abort() {
        request.connection().close()
    }

    private fun prepareHead(status: Int, headers: MultiMap) {
        this.status = status
        onStart()
        response.setStatusCode(status)
        response.headers().addAll(headers)
        if (closesConnection()) response.putHeader("Connection", "close")
    }
}
