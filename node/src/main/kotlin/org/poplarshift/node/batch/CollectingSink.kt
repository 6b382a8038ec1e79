package org.poplarshift.node.batch

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import org.poplarshift.node.forward.ResponseSink

/** Buffers the body of a response up to [limitBytes], so that a result fits into a log record. */
class CollectingSink(private val limitBytes: Int) : ResponseSink {
    private val body = Buffer.buffer()

    var isTooLarge = false
        private set

    override suspend fun start(status: Int, headers: MultiMap) = Unit

    override suspend fun write(chunk: Buffer) {
        isTooLarge = isTooLarge || body.length() + chunk.length() > limitBytes
        if (!isTooLarge) body.appendBuffer(chunk)
    }

    override suspend fun end() = Unit

    fun text(): String = body.toString()
}
