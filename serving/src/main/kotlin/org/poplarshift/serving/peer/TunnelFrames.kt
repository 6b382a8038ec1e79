package org.poplarshift.serving.peer

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.ByteToMessageDecoder
import io.vertx.core.buffer.Buffer
import java.io.IOException

/**
 * The bytes of a worker in frames, as a relaying node sends them: a length of four bytes and the bytes.
 *
 * The end of a connection may end a response. The loss of the relaying node must not look like it, so that the end and the
 * reset of the worker's connection have frames of their own. So has the shutdown of the relaying node, which can't tell a
 * connection between two requests from one whose worker is silent.
 */
object TunnelFrames {
    internal const val END = 0
    internal const val RESET = -1
    internal const val LEAVING = -2

    /** The worker has closed its connection in an orderly way. */
    val end: Buffer = Buffer.buffer().appendInt(END)

    /** The worker's connection was reset. */
    val reset: Buffer = Buffer.buffer().appendInt(RESET)

    /** The relaying node shuts down: the connection is to be closed once its request has ended. */
    val leaving: Buffer = Buffer.buffer().appendInt(LEAVING)

    /** Returns the frame that contains [bytes]. */
    fun of(bytes: Buffer): Buffer =
        Buffer.buffer(Int.SIZE_BYTES + bytes.length()).appendInt(bytes.length()).appendBuffer(bytes)
}

/**
 * Passes on the bytes of the frames that are received.
 *
 * @param onRelayLeaving called when the relaying node shuts down
 * @param onRelayLost called before the end of a connection that the worker has not ended
 */
class TunnelDecoder(private val onRelayLeaving: () -> Unit, private val onRelayLost: () -> Unit) :
    ByteToMessageDecoder() {
    private var remaining = 0
    private var isEnded = false

    override fun decode(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        if (isEnded) {
            input.skipBytes(input.readableBytes())
            return
        }
        if (remaining == 0 && !readLength(context, input)) return
        val count = minOf(remaining, input.readableBytes())
        if (count == 0) return
        remaining -= count
        output += input.readRetainedSlice(count)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        if (!isEnded) {
            isEnded = true
            onRelayLost()
            context.fireExceptionCaught(IOException("the relaying node was lost"))
        }
        super.channelInactive(context)
    }

    private fun readLength(context: ChannelHandlerContext, input: ByteBuf): Boolean {
        if (input.readableBytes() < Int.SIZE_BYTES) return false
        val length = input.readInt()
        remaining = maxOf(0, length)
        if (length > 0) return true
        if (length == TunnelFrames.LEAVING) {
            onRelayLeaving()
            return false
        }
        isEnded = true
        if (length != TunnelFrames.END) context.fireExceptionCaught(IOException("reset at the relaying node"))
        context.close()
        return false
    }
}
