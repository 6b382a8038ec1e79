package org.poplarshift.serving.peer

import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import kotlin.random.Random

/**
 * Chooses the nodes through which this node calls what it does not reach itself.
 *
 * Nodes that have served a call are asked first, and then randomly chosen ones. Until [maximumProven] nodes have served
 * calls, some calls ask another one first. Nodes that did not respond are left out for a while. They may still run
 * schedulers, so their failures are not shared with other components.
 *
 * @param maximumProven number of nodes among which the calls are divided
 */
class RelayRoute(clock: MonotonicClock, private val maximumProven: Int) {
    private val reachability = PeerReachability(clock)
    private val proven = LinkedHashSet<String>()

    /** Returns those of [peers] that are asked in turn. */
    fun candidates(peers: List<FleetMember>): List<FleetMember> {
        val isExploring = proven.size < maximumProven && Random.nextInt(CALLS_PER_EXPLORATION) == 0
        return peers
            .filter { !reachability.isSuspect(it.name) }
            .shuffled()
            .sortedBy { (it.name !in proven) != isExploring }
            .take(MAXIMUM_PEERS_PER_CALL)
    }

    /** Records that [peer] has served a call. */
    fun onServed(peer: String) {
        if (proven.add(peer) && proven.size > maximumProven) proven.remove(proven.first())
    }

    /** Records that [peer] has refused a call. */
    fun onRefused(peer: String) {
        proven.remove(peer)
    }

    /** Records that [peer] did not respond, or that it can't serve any call at present. */
    fun onFailed(peer: String) {
        proven.remove(peer)
        reachability.onFailure(peer)
    }

    private companion object {
        // The log may turn a third of the nodes away at the same time.
        const val MAXIMUM_PEERS_PER_CALL = 3

        // An unproven node may take a connection timeout to refuse a call.
        const val CALLS_PER_EXPLORATION = 4
    }
}
