package org.poplarshift.verification.soak

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait

/**
 * The link between one node and the store: a relay that delays, cuts and resets connections.
 *
 * As on a network, a connection that continues after a cut has lost no bytes: they arrive later, in order. Used on one
 * event loop.
 */
class StoreLink(private val vertx: Vertx, private val host: String, private val storePort: Int) {
    private val client = vertx.createNetClient()
    private val connections = LinkedHashSet<LinkConnection>()
    private val waiting = LinkedHashSet<NetSocket>()
    private val active = ArrayList<LinkFaults>()

    /** Opens the listener for the node and returns its port. */
    suspend fun listen(): Int = vertx.createNetServer().connectHandler(::accept).listen(0, host).coAwait().actualPort()

    /** Injects [faults] in addition to those that are active. */
    fun begin(faults: LinkFaults) {
        active += faults
        if (faults.isReset) connections.toList().forEach { it.reset() }
    }

    /** Ends [faults]. Bytes that were held back by a cut are delivered. */
    fun end(faults: LinkFaults) {
        active -= faults
        connections.toList().forEach { it.flush() }
        if (!isCut()) waiting.toList().forEach { connect(it) }
    }

    private fun isCut() = active.any { it.isCutToStore || it.isCutFromStore }

    private fun delayMillis() = active.maxOfOrNull { it.delayMillis } ?: 0

    // A connection can't be established while either direction is cut.
    private fun accept(node: NetSocket) {
        node.pause()
        node.exceptionHandler { logger.debug { "connection of a node: ${it.message}" } }
        node.closeHandler { waiting -= node }
        waiting += node
        if (!isCut()) connect(node)
    }

    private fun connect(node: NetSocket) {
        waiting -= node
        client.connect(storePort, host).onComplete { result ->
            if (result.succeeded()) relay(node, result.result()) else node.close()
        }
    }

    private fun relay(node: NetSocket, store: NetSocket) {
        store.exceptionHandler { logger.debug { "connection to the store: ${it.message}" } }
        val toStore = LinkDirection(vertx, store, ::delayMillis) { active.any { it.isCutToStore } }
        val toNode = LinkDirection(vertx, node, ::delayMillis) { active.any { it.isCutFromStore } }
        val connection = LinkConnection(node, store, toStore, toNode)
        connections += connection
        store.handler { toNode.add(it) }
        store.closeHandler {
            connections -= connection
            toNode.addEnd()
        }
        node.handler { toStore.add(it) }
        node.closeHandler {
            connections -= connection
            toStore.addEnd()
        }
        node.resume()
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
