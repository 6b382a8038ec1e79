package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import org.poplarshift.node.forward.ResponseSink
import org.poplarshift.serving.MonotonicClock

/** Records when the first byte of a response body arrived. */
class FirstByteSink(private val sink: ResponseSink, private val clock: MonotonicClock) : ResponseSink {
    /** The arrival time in milliseconds of the monotonic clock, or null if no byte has arrived. */
    var firstByteMillis: Long? = null
        private set

    override suspend fun start(status: Int, headers: MultiMap) = sink.start(status, headers)

    override suspend fun write(chunk: Buffer) {
        if (firstByteMillis == null) firstByteMillis = clock.millis()
        sink.write(chunk)
    }

    override suspend fun end() = sink.end()
}
