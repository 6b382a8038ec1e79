package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Upstream

/**
 * What the batch part needs of the dispatcher. All functions are called on the node's event loop.
 */
interface BatchWorkers {
    /** Online requests at [worker]: this node's, those that peers have reported, or those of the load report. */
    fun onlineRunning(worker: String): Int

    /** This node's online requests at [worker]; the figure of `OnlineDemand`. */
    fun ownOnlineRunning(worker: String): Int

    /**
     * How many more batch requests [worker] may get with [headroom] requests left free. A negative result is the number
     * of batch requests to cancel. The result is 0 or less while online requests wait for the worker's upstream, and
     * while the worker can't take new work.
     */
    fun batchRoom(worker: String, headroom: Int): Int

    /** Takes a place for one batch request at [worker]; the caller keeps to its headroom by [batchRoom]. */
    fun tryAcquire(upstream: Upstream, worker: String, fingerprint: String): BatchDecision

    /** Takes the online requests that all other nodes together have reported for [worker]. */
    fun onPeerDemand(worker: String, running: Int)

    /** Takes the number of batch requests that another node, the holder of the worker's slot, runs at [worker]. */
    fun onBatchAnnounced(worker: String, running: Int)

    /** Calls [listener] with a worker's identifier whenever its online requests or its usability have changed. */
    fun addListener(listener: (worker: String) -> Unit)
}

/** Whether a batch request gets a place. */
sealed interface BatchDecision {
    /** The request may be sent to the worker of [grant]. */
    data class Granted(val grant: WorkerGrant) : BatchDecision

    /** The worker has no room for batch. */
    data object NoRoom : BatchDecision

    /** A worker died with the request; it must be dispatched by [UpstreamDispatcher.acquire]. */
    data object Suspect : BatchDecision

    /** The request has crashed two workers and must not run. */
    data object Quarantined : BatchDecision
}
