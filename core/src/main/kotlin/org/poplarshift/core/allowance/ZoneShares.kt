package org.poplarshift.core.allowance

import org.poplarshift.core.dispatch.RendezvousHash

/**
 * The fractions of an organisation's rate limit that the nodes hold.
 *
 * They follow from the zones of the deployment and from the order of the nodes in each zone alone. The fractions of all
 * nodes sum to at most 1, whichever nodes are running or can be reached.
 */
object ZoneShares {
    /** Returns the zones among which the limit of [organisation] is divided into equal parts. */
    fun holders(zones: Collection<String>, organisation: String, burst: Double): List<String> {
        val count = (burst / MINIMUM_HOLDER_TOKENS).toInt().coerceIn(1, maxOf(1, zones.size))
        return zones.sortedWith(compareBy({ RendezvousHash.of(it, organisation) }, { it })).take(count)
    }

    /**
     * Returns the fraction that the node with [rank] holds in a zone which is one of [holders].
     *
     * @param rank position of the node in the order of its zone, from 0
     * @param zones number of zones of the deployment
     */
    fun ofNode(rank: Int, zones: Int, holders: Int, burst: Double): Double {
        val standby = if (zones <= STANDBY_ZONES && burst / holders * STANDBY_PART >= 1.0) STANDBY_PART else 0.0
        val part = when (rank) {
            0 -> 1.0 - standby
            1 -> standby
            else -> 0.0
        }
        return part / holders
    }

    // The parts of different zones are not always full at the same time, and a full part does not refill. With smaller
    // parts, organisations are refused although one bucket for all nodes would hold a token.
    private const val MINIMUM_HOLDER_TOKENS = 3.0

    // With more zones, the loss of one node costs a smaller part of the limit than a standby would keep.
    private const val STANDBY_ZONES = 2
    private const val STANDBY_PART = 0.25
}
