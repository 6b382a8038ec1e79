package org.poplarshift.serving.ingress

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** Collects the body of a request up to a limit. Must be made in the event that delivers the request. */
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

    /** The whole body, or null when it is larger than the limit. */
    suspend fun await(): Buffer? = received.await()
}
