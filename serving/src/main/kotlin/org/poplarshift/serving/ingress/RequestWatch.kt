package org.poplarshift.serving.ingress

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Reports the decoded requests and the responses of one connection to [connection]. */
internal class RequestWatch(private val connection: ClientConnection) : ChannelDuplexHandler() {
    private val progress = connection.progress
    private var isInterim = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpRequest && !connection.admitHead(message)) {
            ReferenceCountUtil.release(message)
            return
        }
        if (connection.isEnding) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpContent) progress.onBody(message.content().readableBytes())
        if (message is LastHttpContent) progress.onRequestEnd()
        context.fireChannelRead(message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        if (message is HttpResponse) {
            isInterim = message.status().code() == HttpResponseStatus.CONTINUE.code()
            if (message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) progress.isUpgraded = true
        }
        context.write(message, promise)
        if (message is LastHttpContent && !isInterim) connection.onResponseEnd()
    }
}
