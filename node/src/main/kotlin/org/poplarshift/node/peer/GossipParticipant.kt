package org.poplarshift.node.peer

import org.poplarshift.wire.GossipMessage

/** A component that exchanges its state through the gossip between nodes, such as the quarantine. */
interface GossipParticipant {
    /** Returns [message] with the state of this component added. */
    fun contribute(message: GossipMessage): GossipMessage

    /**
     * Merges the state that a peer sent.
     *
     * @param sentMillis a time of this node's clock no later than the peer built [message]. For requests of the peer,
     * whose send time is unknown, it is the time of arrival.
     */
    suspend fun accept(message: GossipMessage, sentMillis: Long)
}
