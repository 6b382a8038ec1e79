package org.poplarshift.serving.memory

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import java.nio.channels.ClosedChannelException

/**
 * Passes large messages to the transport in slices, as fast as the other side reads.
 *
 * The transport copies everything that is passed to it to direct memory. Without this handler each body and each response
 * that waits to be sent would take as much direct memory as it has bytes.
 */
class PacedWriter : ChannelDuplexHandler() {
    private class Pending(val bytes: ByteBuf, val promise: ChannelPromise)

    private val queue = ArrayDeque<Pending>()
    private var queuedBytes = 0L
    private var context: ChannelHandlerContext? = null

    /** Called when all bytes have been passed to the system. */
    var onDrained: () -> Unit = {}

    /** Number of bytes that were written and not passed to the system yet. */
    val pendingBytes: Long
        get() = queuedBytes + transportBytes()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message !is ByteBuf || (queue.isEmpty() && message.readableBytes() <= SLICE_BYTES)) {
            context.write(message, promise)
            return
        }
        queue += Pending(message, promise)
        queuedBytes += message.readableBytes()
    }

    override fun flush(context: ChannelHandlerContext) {
        pass(context)
        context.flush()
    }

    override fun close(context: ChannelHandlerContext, promise: ChannelPromise) {
        failQueue()
        context.close(promise)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        failQueue()
        context.fireChannelInactive()
    }

    private fun pass(context: ChannelHandlerContext) {
        while (queue.isNotEmpty() && transportBytes() < MAXIMUM_TRANSPORT_BYTES) {
            val pending = queue.first()
            if (pending.bytes.readableBytes() > SLICE_BYTES) {
                writeSlice(context, pending.bytes.readRetainedSlice(SLICE_BYTES), promise = null)
            } else {
                queue.removeFirst()
                writeSlice(context, pending.bytes, pending.promise)
            }
        }
        // Producers that observe the writability wait until the queue is empty.
        context.channel().unsafe().outboundBuffer()?.setUserDefinedWritability(WRITABILITY_INDEX, queue.isEmpty())
    }

    private fun writeSlice(context: ChannelHandlerContext, slice: ByteBuf, promise: ChannelPromise?) {
        queuedBytes -= slice.readableBytes()
        context.write(slice).addListener { written ->
            if (promise != null && !promise.isVoid) {
                if (written.isSuccess) promise.trySuccess() else promise.tryFailure(written.cause())
            }
            if (!written.isSuccess) return@addListener
            if (queue.isNotEmpty()) flush(context) else onDrained()
        }
    }

    private fun failQueue() {
        val failed = queue.toList()
        queue.clear()
        queuedBytes = 0
        failed.forEach {
            it.bytes.release()
            if (!it.promise.isVoid) it.promise.tryFailure(ClosedChannelException())
        }
    }

    private fun transportBytes(): Long = context?.channel()?.unsafe()?.outboundBuffer()?.totalPendingWriteBytes() ?: 0

    private companion object {
        const val SLICE_BYTES = 16_384

        // Enough to keep a fast connection busy; the direct memory of a connection whose other side does not read.
        const val MAXIMUM_TRANSPORT_BYTES = 49_152L

        // One of the writability flags that the transport leaves to handlers.
        const val WRITABILITY_INDEX = 1
    }
}
