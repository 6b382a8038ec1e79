package org.poplarshift.core.dispatch

/**
 * The shares of a worker's rate limit that schedulers and nodes use.
 *
 * The scheduler that the nodes of a zone prefer uses the whole limit. Nodes that can't reach it in time use another
 * scheduler, or none, while it goes on granting slots to the others. What they add must stay far below the limit.
 */
object RateLimitShares {
    private const val STANDBY_SHARE = 0.2

    /** Returns the share of a scheduler. */
    fun ofScheduler(isPreferred: Boolean): Double = if (isPreferred) 1.0 else STANDBY_SHARE

    /** Returns the share of a node without a scheduler in a fleet of [nodes] nodes. */
    fun ofNode(nodes: Int): Double = STANDBY_SHARE / nodes
}
