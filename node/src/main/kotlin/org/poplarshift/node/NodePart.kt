package org.poplarshift.node

/**
 * A component of a node with its own lifecycle. [Node] starts the parts in list order and stops them in reverse order.
 */
interface NodePart {
    /** Starts background work in the node's scope and mounts routes. Called once, before the servers listen. */
    suspend fun start() = Unit

    /** Called when the node has received SIGTERM. Requests are still accepted and must be served. */
    suspend fun leave() = Unit

    /** Called when no requests are running any more. The peers server still listens. */
    suspend fun stop() = Unit
}
