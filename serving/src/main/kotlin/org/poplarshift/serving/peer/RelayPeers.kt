package org.poplarshift.serving.peer

import org.poplarshift.serving.fleet.FleetMember

/**
 * Chooses the nodes that may relay this node's calls of the log and its requests to workers.
 *
 * Records of submissions contain the bodies of requests, as the requests themselves do. While the requests of any route or organisation are restricted to
 * some regions, they are relayed only within the region of this node.
 *
 * @param regions the regions of the zones by the names of the zones
 * @param isRestricted returns whether requests are restricted to some regions
 * @param peers returns the other nodes
 */
class RelayPeers(
    private val self: FleetMember,
    private val submissionTopics: Set<String>,
    private val regions: Map<String, String>,
    private val isRestricted: () -> Boolean,
    private val peers: () -> List<FleetMember>,
) {
    /** Returns the nodes that may relay calls for [topic]. */
    fun forTopic(topic: String): List<FleetMember> = if (topic in submissionTopics) forRequests() else peers()

    /** Returns the nodes that may relay requests. */
    fun forRequests(): List<FleetMember> = if (isRestricted()) peers().filter { isInOwnRegion(it) } else peers()

    private fun isInOwnRegion(peer: FleetMember): Boolean =
        peer.zone == self.zone || (regions[peer.zone] != null && regions[peer.zone] == regions[self.zone])
}
