package org.poplarshift.node.peer

import kotlinx.coroutines.flow.StateFlow

/** Directory of the other nodes of the fleet. */
interface PeerDirectory {
    /** The known peers. This node is not included. */
    val peers: StateFlow<List<Peer>>
}

/**
 * Another node.
 *
 * @property incarnation identifier of the node process, which is new after each restart
 * @property address IP address and port of the peers listener
 */
data class Peer(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val address: String,
    val isLeaving: Boolean,
)
