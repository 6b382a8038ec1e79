package org.poplarshift.core.admission

/** The outcome of placing a request in a full or free [FairQueue]. */
sealed interface OfferResult<out T> {
    /** The request waits. */
    data object Queued : OfferResult<Nothing>

    /** The request waits, and [evicted], the newest of the organisation with the longest backlog, must be refused. */
    data class QueuedAfterEviction<T>(val evicted: QueuedRequest<T>) : OfferResult<T>

    /** The request must be refused. */
    data object Full : OfferResult<Nothing>
}
