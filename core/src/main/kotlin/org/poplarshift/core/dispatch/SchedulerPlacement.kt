package org.poplarshift.core.dispatch

/**
 * Chooses the coordinator of an availability zone, without any communication.
 *
 * The coordinator runs the schedulers of all services of its zone and holds the zone's shares of rate limits. All nodes
 * with the same list of members get the same order. The fastest nodes come first, those of equal speed by rendezvous
 * hashing, so that a node that joins moves no other node.
 */
object SchedulerPlacement {
    /** A node that can run schedulers. */
    data class Candidate(val node: String, val zone: String, val speed: Double)

    /** Returns the nodes of [zone] in the order in which they are to be its coordinator. */
    fun order(candidates: Collection<Candidate>, zone: String): List<Candidate> = candidates
        .filter { it.zone == zone }
        .sortedWith(
            compareByDescending<Candidate> {
                it.speed
            }.thenBy { RendezvousHash.of(it.node, zone) }.thenBy { it.node },
        )
}
