package org.poplarshift.serving.ingress

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** Buffers the body of a request up to a limit. Must be created in the event that delivers the request. */
class RequestBody(request: HttpServerRequest, maximumBytes: Int) {
    private val received = CompletableDeferred<Buffer?>()
    private val bytes = Buffer.buffer()

    init {
        val contentLength = request.getHeader("Content-Length")?.toLongOrNull() ?: 0
        if (contentLength > maximumBytes) received.complete(null)
        request.handler { chunk ->
            if (received.isCompleted) return@handler
            bytes.appendBuffer(chunk)
            if (bytes.length() > maximumBytes) received.complete(null)
        }
        request.endHandler { received.complete(bytes) }
    }

    /** Waits for the complete body; returns null when it exceeds the limit. */
    suspend fun await(): Buffer? = received.await()
}
