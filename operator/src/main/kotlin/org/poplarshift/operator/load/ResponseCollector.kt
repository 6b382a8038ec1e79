package org.poplarshift.operator.load

import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse

/** Collects the body of a response and records the times between its chunks. */
internal class ResponseCollector(private val results: OrganisationResults) {
    private val buffer = Buffer.buffer()
    private var previousChunkNanos = 0L

    var status = 0
        private set

    /** Arrival time of the first chunk on the monotonic clock in nanoseconds; 0 until it arrives. */
    var firstChunkNanos = 0L
        private set

    /** The body received so far. */
    val content: String
        get() = buffer.toString()

    /**
     * Reads [response] to its end. Must be called on the event loop of the response before that loop reads further
     * data. The future completes with the end of the response and fails if the response fails.
     */
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
