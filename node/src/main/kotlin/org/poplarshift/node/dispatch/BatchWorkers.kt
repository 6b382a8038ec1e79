package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Upstream

/**
 * Access of batch jobs to the workers of the dispatcher. All functions are called on the node's event loop.
 */
interface BatchWorkers {
    /**
     * Returns the number of online requests at [worker]: the greater of the load estimate and the sum of this node's
     * requests and those that peers have reported.
     */
    fun onlineRunning(worker: String): Int

    /** Returns the number of this node's online requests at [worker], which `OnlineDemand` carries to peers. */
    fun ownOnlineRunning(worker: String): Int

    /**
     * Returns how many more batch requests [worker] may run with [headroom] requests left free. A negative result is
     * the number of batch requests to cancel. The result is 0 or less while online requests wait for the worker's
     * upstream, and while the worker is not eligible for new requests.
     */
    fun batchRoom(worker: String, headroom: Int): Int

    /** Reserves capacity for one batch request at [worker]. The caller enforces its headroom through [batchRoom]. */
    fun tryAcquire(upstream: Upstream, worker: String, fingerprint: String): BatchDecision

    /** Handles the total number of online requests that all other nodes have reported for [worker]. */
    fun onPeerDemand(worker: String, running: Int)

    /** Handles the number of batch requests that another node, the holder of the worker's slot, runs at [worker]. */
    fun onBatchAnnounced(worker: String, running: Int)

    /** Calls [listener] with a worker's identifier whenever its online requests or its eligibility may have changed. */
    fun addListener(listener: (worker: String) -> Unit)
}

/** The outcome of reserving capacity for a batch request. */
sealed interface BatchDecision {
    /** The request may be sent to the worker of [grant]. */
    data class Granted(val grant: WorkerGrant) : BatchDecision

    /** The worker has no free capacity for batch requests. */
    data object NoRoom : BatchDecision

    /** A worker crashed while it ran the request, which must be dispatched by [UpstreamDispatcher.acquire]. */
    data object Suspect : BatchDecision

    /** The request has crashed two workers and must not run. */
    data object Quarantined : BatchDecision
}
