package org.poplarshift.node.batch

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import org.poplarshift.node.forward.ResponseSink

/** Collects the body of a response of at most [limitBytes], the size of a record of the log. */
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
