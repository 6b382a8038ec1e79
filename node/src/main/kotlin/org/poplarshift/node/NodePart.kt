package org.poplarshift.node

/**
 * A part of a node with work of its own. [Node] starts the parts in the order of its list and stops them in reverse.
 */
interface NodePart {
    /** Starts background work in the node's scope and mounts routes. Called once, before the servers listen. */
    suspend fun start() = Unit

    /** Called when the node has received SIGTERM. Requests are still accepted and must be served. */
    suspend fun leave() = Unit

    /** Called when no request runs any more. The peers server still listens. */
    suspend fun stop() = Unit
}
