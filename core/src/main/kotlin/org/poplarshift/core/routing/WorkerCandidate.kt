package org.poplarshift.core.routing

/**
 * A usable worker as a routing policy sees it.
 *
 * @property load estimated concurrent online requests, of this node and others
 * @property reportedLoad running and waiting requests in the newest load report
 * @property firstByteMillis decayed mean of the time to first byte, 0 before the first response
 */
data class WorkerCandidate(
    val worker: String,
    val zone: String,
    val capacity: Int,
    val load: Int,
    val reportedLoad: Int = load,
    val firstByteMillis: Double = 0.0,
) {
    /** Whether another request fits. */
    val hasRoom: Boolean
        get() = load < capacity
}
