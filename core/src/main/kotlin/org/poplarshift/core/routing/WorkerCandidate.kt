package org.poplarshift.core.routing

/**
 * A usable worker, as input to a routing policy.
 *
 * @property load estimated concurrent online requests from all nodes
 * @property reportedLoad running and waiting requests in the latest load report
 * @property firstByteMillis decayed mean of the time to first byte in milliseconds, or 0 before the first response
 */
data class WorkerCandidate(
    val worker: String,
    val zone: String,
    val capacity: Int,
    val load: Int,
    val reportedLoad: Int = load,
    val firstByteMillis: Double = 0.0,
) {
    /** Whether the worker has capacity for another request. */
    val hasRoom: Boolean
        get() = load < capacity
}
