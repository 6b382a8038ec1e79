package org.poplarshift.node.http

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** The outcome of reading the body of a request. */
sealed interface BodyResult {
    /** The whole body. */
    data class Complete(val body: Buffer) : BodyResult

    /** The body exceeds the limit and was not read completely. */
    data object TooLarge : BodyResult

    /** The sender stopped sending before the end of the body. */
    data object Stalled : BodyResult
}

/** Reads a body of at most [limitBytes]; the time between two parts must not exceed [idleMillis]. */
suspend fun HttpServerRequest.readBody(limitBytes: Int, idleMillis: Long): BodyResult {
    val declared = getHeader("Content-Length")?.toLongOrNull() ?: 0
    if (declared > limitBytes) return BodyResult.TooLarge
    val body = Buffer.buffer()
    val chunks = Channel<Buffer>(Channel.UNLIMITED)
    handler { chunks.trySend(it) }
    exceptionHandler { chunks.close(it) }
    endHandler { chunks.close() }
    resume()
    while (true) {
        val received = withTimeoutOrNull(idleMillis) { chunks.receiveCatching() } ?: return BodyResult.Stalled
        received.exceptionOrNull()?.let { throw it }
        val chunk = received.getOrNull() ?: return BodyResult.Complete(body)
        if (body.length() + chunk.length() > limitBytes) return BodyResult.TooLarge
        body.appendBuffer(chunk)
    }
}
