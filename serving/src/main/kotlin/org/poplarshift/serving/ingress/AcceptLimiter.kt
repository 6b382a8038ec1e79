package org.poplarshift.serving.ingress

import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.atomic.AtomicInteger

/**
 * Closes accepted connections beyond [maximumConnections] on the thread that accepts them.
 *
 * That thread accepts all connections of a burst before the event loop sees the first ones, until no descriptor is left for
 * connections to workers and to the log.
 */
@ChannelHandler.Sharable
internal class AcceptLimiter(private val maximumConnections: Int, private val onRefused: () -> Unit) :
    ChannelInboundHandlerAdapter() {
    private val open = AtomicInteger()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val accepted = message as Channel
        if (open.incrementAndGet() > maximumConnections) {
            open.decrementAndGet()
            // The channel is not registered with an event loop yet.
            accepted.unsafe().closeForcibly()
            onRefused()
        } else {
            accepted.closeFuture().addListener { open.decrementAndGet() }
            context.fireChannelRead(message)
        }
    }
}
