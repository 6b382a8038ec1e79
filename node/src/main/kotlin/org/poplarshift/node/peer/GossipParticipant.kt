package org.poplarshift.node.peer

import org.poplarshift.wire.GossipMessage

/** One subject of the gossip between nodes, such as worker health. */
interface GossipParticipant {
    /** Returns [message] with what this node knows about the subject. */
    fun contribute(message: GossipMessage): GossipMessage

    /**
     * Takes in what a peer sent.
     *
     * @param sentMillis a time of this node's clock at or before which the peer built [message]; for requests of the
     * peer, whose time of sending is unknown, the time of arrival
     */
    suspend fun accept(message: GossipMessage, sentMillis: Long)
}
