package org.poplarshift.node.peer

import kotlinx.coroutines.flow.StateFlow

/** The other nodes that this node knows. */
interface PeerDirectory {
    /** Known peers, without this node. */
    val peers: StateFlow<List<Peer>>
}

/**
 * Another node.
 *
 * @property incarnation the identifier of the process; a restarted VM has a new one
 * @property address IP number and port of the peers listener
 */
data class Peer(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val address: String,
    val isLeaving: Boolean,
)
