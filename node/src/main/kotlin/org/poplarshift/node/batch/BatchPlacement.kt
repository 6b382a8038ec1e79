package org.poplarshift.node.batch

import org.poplarshift.node.peer.Peer

/**
 * A worker that may get a batch item.
 *
 * @property holder the node that holds the worker's batch share, or null when it is this node
 */
data class BatchPlacement(val worker: String, val holder: Peer?)
