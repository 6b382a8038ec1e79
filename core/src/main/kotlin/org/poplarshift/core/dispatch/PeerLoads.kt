package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/**
 * What one node tells the others of its requests.
 *
 * @property online requests at each worker, by its id
 * @property batch batch requests at each worker, by its id
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

/** The newest loads that other nodes have told, as long as they are fresh. */
class PeerLoads {
    private class ReceivedLoad(val load: NodeLoad, val receivedMillis: Long)

    private val byNode = HashMap<String, ReceivedLoad>()

    /** Takes [load], received at [nowMillis]. */
    fun onLoad(load: NodeLoad, nowMillis: Long) {
        byNode[load.node] = ReceivedLoad(load, nowMillis)
    }

    /** Forgets what is too old, and passes sums on to the workers of [balancer]. */
    fun applyTo(balancer: LoadBalancer, nowMillis: Long) {
        byNode.values.removeIf { nowMillis - it.receivedMillis > MAXIMUM_AGE_MILLIS }
        balancer.updatePeerRequests(sums { it.online }, sums { it.batch })
    }

    /** Online requests of other nodes that wait for a worker of [service]. */
    fun waitingRequests(service: String): Int = byNode.values.sumOf { it.load.waiting[service] ?: 0 }

    /** Names of the other nodes that can read the log, as far as known. */
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
        // Several rounds of messages; a node that is silent for longer has probably ended or is cut off.
        const val MAXIMUM_AGE_MILLIS = 600L
    }
}
