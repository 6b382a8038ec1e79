package org.poplarshift.core.idempotency

/** How to proceed with a request that has an `Idempotency-Key`. */
sealed interface RequestDecision {
    /** The key is unused: append [RequestRecord.RequestStarted]. */
    data object Start : RequestDecision

    /** The start record of this request is the first one for the key: dispatch the request. */
    data class Run(val startedOffset: Long) : RequestDecision

    /** The request has a recorded response: replay it from the log at [finishedOffset]. */
    data class Replay(val requestId: String, val finishedOffset: Long) : RequestDecision

    /** Another attempt with the key is in progress. */
    data object InProgress : RequestDecision

    /** The node that started the request is no longer live and recorded no response. */
    data object OutcomeUnknown : RequestDecision

    /** The key was used with different content. */
    data object ContentMismatch : RequestDecision
}
