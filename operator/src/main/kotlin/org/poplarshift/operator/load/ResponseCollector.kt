package org.poplarshift.operator.load

import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse

/** Collects a response and the times at which its parts came. */
internal class ResponseCollector(private val results: StreamResults) {
    private val text = Buffer.buffer()
    private var previousNanos = 0L

    /** The HTTP status. */
    var status = 0
        private set

    /** When the first part of the body came, in monotonic nanoseconds. */
    var firstNanos = 0L
        private set

    /** The body so far. */
    val content: String
        get() = text.toString()

    /** Must be called on the response's event loop before it reads on; completes with the response. */
    fun collect(response: HttpClientResponse): Future<Void> {
        val ended = Promise.promise<Void>()
        status = response.statusCode()
        response.handler(::part)
        response.exceptionHandler { ended.tryFail(it) }
        response.endHandler { ended.tryComplete() }
        return ended.future()
    }

    private fun part(chunk: Buffer) {
        val now = System.nanoTime()
        if (firstNanos == 0L) firstNanos = now else results.gap(now - previousNanos)
        previousNanos = now
        text.appendBuffer(chunk)
    }
}
