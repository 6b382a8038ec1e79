package org.poplarshift.core.admission

/**
 * A request in a [FairQueue].
 *
 * @property costTokens estimated number of prompt tokens plus the maximum number of generated tokens
 * @property deadlineMillis the monotonic time in milliseconds at which the request expires
 * @property isConstrained whether only some workers may run the request; others overtake it while these are full
 */
class QueuedRequest<T>(
    val organisation: String,
    val weight: Double,
    val costTokens: Long,
    val deadlineMillis: Long,
    val payload: T,
    val isConstrained: Boolean = false,
) {
    /** The virtual time of the queue at the arrival of the request. */
    internal var arrivedAt = 0.0
}
