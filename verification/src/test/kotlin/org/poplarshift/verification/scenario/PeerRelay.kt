package org.poplarshift.verification.scenario

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Stands between the nodes, so that a scenario can partition them. A partitioned connection goes silent: its bytes are
 * read and dropped, and new connections get no response, as when a network drops packets.
 */
class PeerRelay : AutoCloseable {
    private val servers = CopyOnWriteArrayList<ServerSocket>()
    private val partitioned = ConcurrentHashMap.newKeySet<Link>()

    /** Forwards connections to [from] on to [to]; both are IP number and port. */
    fun forward(from: InetSocketAddress, to: InetSocketAddress) {
        val server = ServerSocket(from.port, BACKLOG, from.address)
        servers += server
        startDaemon("relay-${to.address.hostAddress}") {
            while (true) {
                val client = accept(server) ?: return@startDaemon
                startDaemon("relay-connection") { relayConnection(client, to) }
            }
        }
    }

    /** Cuts the way from [source] to [target] and back. */
    fun partition(source: InetAddress, target: InetAddress) {
        partitioned += Link(source, target)
        partitioned += Link(target, source)
    }

    /** Ends all partitions. */
    fun healPartitions() = partitioned.clear()

    override fun close() = servers.forEach { it.close() }

    private fun relayConnection(client: Socket, to: InetSocketAddress) {
        val link = Link(client.inetAddress, to.address)
        if (link in partitioned) return
        try {
            val target = Socket(to.address, to.port)
            startDaemon("relay-request") { pump(client, target, link) }
            pump(target, client, Link(link.target, link.source))
        } catch (_: IOException) {
            client.close()
        }
    }

    private fun pump(from: Socket, to: Socket, link: Link) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (link !in partitioned) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // Either side has closed the connection.
        } finally {
            from.close()
            to.close()
        }
    }

    private fun accept(server: ServerSocket): Socket? = try {
        server.accept()
    } catch (_: IOException) {
        null
    }

    private fun startDaemon(name: String, block: () -> Unit) = thread(isDaemon = true, name = name, block = block)

    private data class Link(val source: InetAddress, val target: InetAddress)

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 16_384
    }
}
