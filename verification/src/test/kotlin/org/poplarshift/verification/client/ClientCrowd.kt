package org.poplarshift.verification.client

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** Clients that all follow [script] at the same time, on one thread. */
class ClientCrowd(private val address: InetSocketAddress, size: Int, private val script: ClientScript) :
    AutoCloseable {
    private val clients = List(size) { Client() }

    /** Lets all clients act until none of them makes progress any more. Calls [onTurn] after each turn. */
    fun run(onTurn: () -> Unit) {
        var idleTurns = 0
        var turns = 0
        while (idleTurns < IDLE_TURNS && turns++ < MAXIMUM_TURNS) {
            val hasProgress = clients.count { it.act() } > 0
            idleTurns = if (hasProgress) 0 else idleTurns + 1
            onTurn()
            Thread.sleep(TURN_MILLIS)
        }
    }

    override fun close() = clients.forEach { it.close() }

    private inner class Client {
        private val channel = SocketChannel.open()
            .setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        private var pending = ByteBuffer.wrap(script.start)
        private var blocksLeft = script.blocks
        private var isConnected = false
        private var isOpen = true

        init {
            channel.configureBlocking(false)
        }

        /** Sends and reads what is possible now. Returns whether that was anything. */
        fun act(): Boolean = isOpen &&
            try {
                if (!isConnected) connect() else send() or read()
            } catch (exception: IOException) {
                // The node may refuse such a client or close its connection at any time.
                exception.message
                close()
                true
            }

        fun close() {
            isOpen = false
            channel.close()
        }

        private fun connect(): Boolean {
            isConnected = if (channel.isConnectionPending) channel.finishConnect() else channel.connect(address)
            return isConnected
        }

        private fun send(): Boolean {
            var allowed = script.bytesPerTurn
            do {
                val sent = if (hasBytes()) write(allowed) else 0
                allowed -= sent
            } while (sent > 0 && allowed > 0)
            return allowed < script.bytesPerTurn
        }

        private fun hasBytes(): Boolean {
            if (!pending.hasRemaining() && blocksLeft > 0) {
                blocksLeft--
                pending = ByteBuffer.wrap(script.block)
            }
            return pending.hasRemaining()
        }

        private fun write(maximumBytes: Int): Int {
            val piece = pending.duplicate()
            piece.limit(piece.position() + minOf(maximumBytes, piece.remaining()))
            return channel.write(piece).also { pending.position(piece.position()) }
        }

        private fun read(): Boolean {
            if (!script.isReading) return false
            val received = channel.read(ByteBuffer.allocate(RECEIVE_BUFFER_BYTES))
            if (received < 0) close()
            return received != 0
        }
    }

    private companion object {
        const val TURN_MILLIS = 2L

        // A second without progress. The node may pause for garbage collections.
        const val IDLE_TURNS = 500

        // 4 s at least. Slow clients still send then.
        const val MAXIMUM_TURNS = 2_000
        const val RECEIVE_BUFFER_BYTES = 4_096
    }
}
