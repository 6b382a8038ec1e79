package org.poplarshift.operator.load

import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse

/** Collects a response and the times at which its parts came. */
internal class ResponseCollector(private val results: OrganisationResults) {
    private val buffer = Buffer.buffer()
    private var previousChunkNanos = 0L

    /** The HTTP status. */
    var status = 0
        private set

    /** When the first part of the body came, in monotonic nanoseconds. */
    var firstChunkNanos = 0L
        private set

    /** The body so far. */
    val content: String
        get() = buffer.toString()

    /** Must be called on the response's event loop before it reads on; completes with the response. */
    fun collect(response: HttpClientResponse): Future<Void> {
        val completion = Promise.promise<Void>()
        status = response.statusCode()
        response.handler(::onChunk)
        response.exceptionHandler { completion.tryFail(it) }
        response.endHandler { completion.tryComplete() }
        return completion.future()
    }

    private fun onChunk(chunk: Buffer) {
        val now = System.nanoTime()
        if (firstChunkNanos == 0L) firstChunkNanos = now else results.recordChunkGap(now - previousChunkNanos)
        previousChunkNanos = now
        buffer.appendBuffer(chunk)
    }
}
