package org.poplarshift.serving.forward

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/**
 * Receives the decoded messages of a connection and its loss.
 *
 * A reset is reported before the decoder sees the end of the connection, because the decoder would take that for the end
 * of a response without a length or chunks.
 *
 * @param onReadComplete called after all messages that could be read at once
 */
internal class ResponseMessageHandler(
    private val onMessage: (HttpObject) -> Unit,
    private val onReadComplete: () -> Unit,
    private val onLost: (reason: String) -> Unit,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) = try {
        if (message is HttpObject) onMessage(message) else onLost("unexpected ${message.javaClass.simpleName}")
    } finally {
        ReferenceCountUtil.release(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        onReadComplete()
        context.fireChannelReadComplete()
    }

    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        onLost(cause.message ?: cause.javaClass.simpleName)
        context.fireExceptionCaught(cause)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onLost(WorkerConnection.CLOSED)
        context.fireChannelInactive()
    }
}
