package org.poplarshift.verification.soak

import io.netty.channel.ChannelOption
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetSocket

/** A connection from a node to the store through a [StoreLink]. */
internal class LinkConnection(
    private val node: NetSocket,
    private val store: NetSocket,
    private val toStore: LinkDirection,
    private val toNode: LinkDirection,
) {
    /** Delivers what is due in both directions. */
    fun flush() {
        toStore.flush()
        toNode.flush()
    }

    /** Resets the connection at both ends. Bytes on their way are lost. */
    fun reset() = listOf(node, store).forEach {
        // A linger time of 0 makes the close send a reset.
        (it as NetSocketInternal).channelHandlerContext().channel().config().setOption(ChannelOption.SO_LINGER, 0)
        it.close()
    }
}
