package org.poplarshift.core.admission

/** The result of [FairQueue.offer]. */
sealed interface OfferResult<out T> {
    /** The request was queued. */
    data object Queued : OfferResult<Nothing>

    /** The request was queued. [evicted], the newest request of the longest backlog, must be refused. */
    data class QueuedAfterEviction<T>(val evicted: QueuedRequest<T>) : OfferResult<T>

    /** The queue is full, and the request must be refused. */
    data object Full : OfferResult<Nothing>
}
