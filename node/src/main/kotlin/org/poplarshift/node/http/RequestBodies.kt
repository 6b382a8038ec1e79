package org.poplarshift.node.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred

/** Reads the body of [this] request, or returns null as soon as it exceeds [limitBytes]. */
suspend fun HttpServerRequest.readBody(limitBytes: Int): Buffer? {
    val declared = getHeader("Content-Length")?.toLongOrNull() ?: 0
    if (declared > limitBytes) return null
    val body = Buffer.buffer()
    val result = CompletableDeferred<Buffer?>()
    handler { chunk ->
        if (body.length() + chunk.length() > limitBytes) result.complete(null) else body.appendBuffer(chunk)
    }
    exceptionHandler { result.completeExceptionally(it) }
    endHandler { result.complete(body) }
    resume()
    return result.await()
}
