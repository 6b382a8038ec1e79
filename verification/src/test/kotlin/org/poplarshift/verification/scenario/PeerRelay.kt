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
 * A TCP relay between the nodes with which a scenario simulates network partitions. On a partitioned link, bytes are
 * read and discarded and new connections receive no response, as when the network drops packets.
 */
class PeerRelay : AutoCloseable {
    private val servers = CopyOnWriteArrayList<ServerSocket>()
    private val partitioned = ConcurrentHashMap.newKeySet<Link>()

    /** Listens on [from] and forwards every connection to [to]. */
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

    /** Partitions [source] and [target] in both directions. */
    fun partition(source: InetAddress, target: InetAddress) {
        partitioned += Link(source, target)
        partitioned += Link(target, source)
    }

    /** Removes all partitions. */
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
            // One side has closed the connection.
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
