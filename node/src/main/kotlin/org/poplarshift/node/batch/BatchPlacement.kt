package org.poplarshift.node.batch

import org.poplarshift.node.peer.Peer

/**
 * A worker that a batch item can be sent to.
 *
 * @property holder the node that holds the worker's slot and its batch capacity, or null when it is this node
 */
data class BatchPlacement(val worker: String, val holder: Peer?)
