package org.poplarshift.core.dispatch

import kotlin.math.ceil

/**
 * Number of batch requests that may run concurrently with the online requests of a service.
 *
 * Batch requests use the slots that the online requests of all nodes leave free. When online load rises, batch runs are
 * stopped and later resume after their last event, which costs the worker little.
 */
object BatchConcurrency {
    /**
     * Returns how many batch requests this node starts (positive) or stops (negative).
     *
     * Runs start only while more than twice the reserve is free and stop only when less than the reserve is free. This
     * hysteresis avoids runs that stop and restart at every small change of the load and make little progress.
     *
     * @param slots total slots of the available workers
     * @param online online requests of all nodes, running and waiting for a worker
     * @param batch batch requests of all nodes that are at a worker
     * @param ownBatch batch requests of this node that may be stopped
     * @param reserve slots kept free for new online requests
     */
    fun adjustment(slots: Int, online: Int, batch: Int, ownBatch: Int, reserve: Int): Int {
        val excess = batch - maxOf(0, slots - online - reserve)
        if (excess <= 0) return maxOf(0, slots - online - START_RESERVE_FACTOR * reserve - batch)
        if (batch == 0) return 0
        // All nodes react at the same time. Each stops a proportional part so that they do not stop too many in total.
        return -minOf(ownBatch, ceil(excess.toDouble() * ownBatch / batch).toInt())
    }

    private const val START_RESERVE_FACTOR = 2
}
