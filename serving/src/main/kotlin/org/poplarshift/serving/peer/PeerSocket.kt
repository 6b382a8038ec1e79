package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.http.WebSocketBase

/** A WebSocket between two nodes that carries text messages. */
class PeerSocket(private val socket: WebSocketBase) {
    init {
        socket.exceptionHandler { logger.debug { "peer: socket failed: ${it.message}" } }
    }

    /** Sends [text] without waiting. Closes the socket if the other node does not read. */
    fun send(text: String) {
        if (socket.isClosed) return
        socket.writeTextMessage(text)
        if (socket.writeQueueFull()) close()
    }

    /** Sets the handler for messages of the other node. */
    fun onMessage(handler: (String) -> Unit) {
        socket.textMessageHandler(handler)
    }

    /** Sets the handler that is called once the socket is closed by either side. */
    fun onClose(handler: () -> Unit) {
        socket.closeHandler { handler() }
    }

    /** Closes the socket. */
    fun close() {
        socket.close()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
