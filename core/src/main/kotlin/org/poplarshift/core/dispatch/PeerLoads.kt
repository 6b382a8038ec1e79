package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/**
 * The request counts that a node broadcasts to its peers.
 *
 * @property online online requests of the node at each worker, by worker id
 * @property batch batch requests of the node at each worker, by worker id
 * @property waiting online requests that wait for a worker, by service
 * @property reachesLog whether the node can read the log
 */
@Serializable
data class NodeLoad(
    val node: String,
    val zone: String,
    val online: Map<String, Int>,
    val batch: Map<String, Int>,
    val waiting: Map<String, Int>,
    val reachesLog: Boolean,
)

/** The latest load of each peer. Loads that are too old are discarded. */
class PeerLoads {
    private class ReceivedLoad(val load: NodeLoad, val receivedMillis: Long)

    private val byNode = HashMap<String, ReceivedLoad>()

    /** Stores [load], received at [nowMillis], in place of the previous load of the same node. */
    fun onLoad(load: NodeLoad, nowMillis: Long) {
        byNode[load.node] = ReceivedLoad(load, nowMillis)
    }

    /** Discards expired loads and passes the total requests of all peers at each worker to [loadBalancer]. */
    fun applyTo(loadBalancer: LoadBalancer, nowMillis: Long) {
        byNode.values.removeIf { nowMillis - it.receivedMillis > MAXIMUM_AGE_MILLIS }
        loadBalancer.updatePeerRequests(sums { it.online }, sums { it.batch })
    }

    /** Number of online requests of all peers that wait for a worker of [service]. */
    fun waitingRequests(service: String): Int = byNode.values.sumOf { it.load.waiting[service] ?: 0 }

    /** Names of the peers whose latest load reports that they can read the log. */
    val nodesReachingLog: Set<String>
        get() = byNode.values.filter { it.load.reachesLog }.map { it.load.node }.toSet()

    private fun sums(counts: (NodeLoad) -> Map<String, Int>): Map<String, Int> {
        val sums = HashMap<String, Int>()
        for (received in byNode.values) {
            counts(received.load).forEach { (worker, count) ->
                sums.merge(worker, count, Int::plus)
            }
        }
        return sums
    }

    private companion object {
        // Several message intervals. A node that sends nothing for longer has probably stopped or is partitioned.
        const val MAXIMUM_AGE_MILLIS = 600L
    }
}
