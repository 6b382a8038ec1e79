package org.poplarshift.node.forward

import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** Reads the body of a paused [response] one part at a time, so that a slow receiver slows the worker down. */
internal class ResponseBody(private val response: HttpClientResponse) {
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)

    init {
        response.handler { parts.trySend(ResponsePart.Chunk(it)) }
        response.endHandler { parts.trySend(ResponsePart.End) }
        response.exceptionHandler { parts.trySend(ResponsePart.Lost(it)) }
    }

    /** Returns the next part, or null when none is received within [idleMillis]. */
    suspend fun next(idleMillis: Long): ResponsePart? {
        response.fetch(1)
        return withTimeoutOrNull(idleMillis) { parts.receive() }
    }

    /** Whether the end of the body can be distinguished from a lost connection. */
    fun hasDefiniteEnd(): Boolean {
        val isChunked = response.getHeader("Transfer-Encoding")?.contains("chunked", ignoreCase = true) == true
        val hasNoBody = response.request().method.name() == "HEAD" || response.statusCode() in STATUSES_WITHOUT_BODY
        return isChunked || hasNoBody || response.getHeader("Content-Length") != null
    }

    private companion object {
        val STATUSES_WITHOUT_BODY = setOf(204, 304)
    }
}
