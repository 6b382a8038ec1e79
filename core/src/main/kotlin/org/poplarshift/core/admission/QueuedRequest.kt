package org.poplarshift.core.admission

/**
 * A request in a [FairQueue].
 *
 * @property costTokens estimated prompt tokens plus the maximum of generated tokens
 * @property deadlineMillis the monotonic time at which the request stops waiting
 * @property isConstrained whether only some workers may run it, so that another request may pass it when these are full
 */
class QueuedRequest<T>(
    val organisation: String,
    val weight: Double,
    val costTokens: Long,
    val deadlineMillis: Long,
    val payload: T,
    val isConstrained: Boolean = false,
) {
    /** The queue's virtual time when the request arrived. */
    internal var arrivedAt = 0.0
}
