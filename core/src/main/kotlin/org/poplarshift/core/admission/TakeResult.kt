package org.poplarshift.core.admission

/** What a worker search says about a queued request. */
enum class TakeResult {
    /** The request leaves the queue and goes to a worker. */
    TAKEN,

    /** No worker that this request may use has room. */
    BLOCKED,

    /** No worker has room for any request. */
    FULL,
}
