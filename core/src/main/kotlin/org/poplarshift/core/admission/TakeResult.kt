package org.poplarshift.core.admission

/** The result of searching for a worker for a queued request. */
enum class TakeResult {
    /** The request leaves the queue and is dispatched to a worker. */
    TAKEN,

    /** No worker that this request may use has room. */
    BLOCKED,

    /** No worker has room for any request. */
    FULL,
}
