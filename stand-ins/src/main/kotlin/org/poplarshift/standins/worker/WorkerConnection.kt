package org.poplarshift.standins.worker

import io.netty.channel.ChannelOption
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetSocket

/** A connection to a worker, which may write a response once more. */
internal class WorkerConnection(private val socket: NetSocket) {
    private var repeated: String? = null

    /** Whether the connection has not been closed. */
    var isOpen = true

    /** Writes [text]. */
    fun write(text: String) {
        if (isOpen) socket.write(text)
    }

    /** Writes [response] once more at the moment that [fault] states. */
    fun repeat(fault: ResponseFault.Repeated, response: String) {
        when (fault.moment) {
            ResponseFault.Moment.AT_ONCE, ResponseFault.Moment.IDLE -> write(response)
            ResponseFault.Moment.NEXT_REQUEST -> repeated = response
        }
    }

    /** Writes the response that is due when the next request has been received. */
    fun writeRepeated() {
        repeated?.let { write(it) }
        repeated = null
    }

    /** Closes the connection; with [isReset] without waiting for bytes that have not been sent. */
    fun close(isReset: Boolean) {
        if (!isOpen) return
        isOpen = false
        // A linger time of 0 makes the close send a reset.
        if (isReset) {
            (socket as NetSocketInternal).channelHandlerContext().channel().config().setOption(
                ChannelOption.SO_LINGER,
                0,
            )
        }
        socket.close()
    }
}
