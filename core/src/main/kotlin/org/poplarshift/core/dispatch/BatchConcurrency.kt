package org.poplarshift.core.dispatch

import kotlin.math.ceil

/**
 * How many batch requests may run beside the online ones of a service.
 *
 * Batch fills the slots that online requests of all nodes leave free. When these need more, batch runs stop and go on
 * later after the last event, which costs the worker little.
 */
object BatchConcurrency {
    /**
     * Changes the number of this node's batch requests: positive to start some, negative to stop some.
     *
     * Runs start only while twice the reserve is free and stop only when less than the reserve is, because a run that
     * stops and starts again at each small change of the load produces little.
     *
     * @param slots of all workers in use
     * @param online requests at the workers and waiting for one, of all nodes
     * @param batch batch requests at the workers, of all nodes
     * @param ownBatch those of this node that may be stopped
     * @param reserve slots that are left to the next online requests
     */
    fun adjustment(slots: Int, online: Int, batch: Int, ownBatch: Int, reserve: Int): Int {
        val excess = batch - maxOf(0, slots - online - reserve)
        if (excess <= 0) return maxOf(0, slots - online - START_RESERVE_FACTOR * reserve - batch)
        if (batch == 0) return 0
        // Several nodes stop at once, each its part, so that together they do not stop more than needed.
        return -minOf(ownBatch, ceil(excess.toDouble() * ownBatch / batch).toInt())
    }

    private const val START_RESERVE_FACTOR = 2
}
