package org.poplarshift.serving.forward

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Passes received bytes to the HTTP decoder only while a response is awaited, and finds those that follow its end.
 *
 * The decoder keeps the beginning of a head until the rest arrives, and would complete it with the next response. The last
 * byte of each segment is therefore decoded by itself: a response that has ended before it is followed by other bytes.
 *
 * @param isAwaited whether a request waits for the end of its response
 * @param onForeignBytes called with the number of received bytes of which some belong to no request
 */
class ResponseSegmentHandler(private val isAwaited: () -> Boolean, private val onForeignBytes: (Int) -> Unit) :
    ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val bytes = message as ByteBuf
        val length = bytes.readableBytes()
        if (isAwaited() && length > 1) context.fireChannelRead(bytes.readRetainedSlice(length - 1))
        if (isAwaited()) {
            context.fireChannelRead(bytes)
        } else {
            bytes.release()
            onForeignBytes(length)
        }
    }
}
