package org.poplarshift.standins.worker

import io.netty.channel.ChannelOption
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetSocket

/** A connection to a worker, which may write bytes that belong to no request. */
internal class WorkerConnection(private val socket: NetSocket) {
    private val responses = ArrayDeque<WorkerResponse>()
    private var pending: String? = null

    /** The oldest response that is remembered, or null before the first one. */
    val earlier: WorkerResponse?
        get() = responses.firstOrNull()

    /** Whether a response is being written that ends with the connection. An early end must then be a reset. */
    var isUnframed = false

    /** Whether the connection has not been closed. */
    var isOpen = true

    /** Records that [response] was written, so that it can be written again. */
    fun remember(response: WorkerResponse) {
        responses += response
        if (responses.size > REMEMBERED) responses.removeFirst()
    }

    /** Writes [text]. */
    fun write(text: String) {
        if (isOpen) socket.write(text)
    }

    /** Writes [bytes], which belong to no request, at [moment]. */
    fun writeAt(moment: ResponseFault.Moment, bytes: String) {
        when (moment) {
            ResponseFault.Moment.AT_ONCE, ResponseFault.Moment.IDLE -> write(bytes)
            ResponseFault.Moment.NEXT_REQUEST -> pending = bytes
        }
    }

    /** Writes the bytes that are due when the next request has been received. */
    fun writePending() {
        pending?.let { write(it) }
        pending = null
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

    private companion object {
        // With three, a response arrives again after another request: A, B, A.
        const val REMEMBERED = 3
    }
}
