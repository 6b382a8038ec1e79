package org.poplarshift.core.dispatch

/**
 * Chooses the nodes that run the scheduler of a service in an availability zone, without any communication.
 *
 * All nodes with the same list of members get the same order. The fastest nodes come first, and the schedulers of
 * different services are spread over them by rendezvous hashing.
 */
object SchedulerPlacement {
    /** A node that can run schedulers. */
    data class Candidate(val node: String, val zone: String, val speed: Double)

    /** Returns the nodes of [zone] in the order in which they are asked to run the scheduler of [service]. */
    fun order(candidates: Collection<Candidate>, zone: String, service: String): List<Candidate> = candidates
        .filter { it.zone == zone }
        .sortedWith(
            compareByDescending<Candidate> {
                it.speed
            }.thenBy { RendezvousHash.of(it.node, service) }.thenBy { it.node },
        )
}
