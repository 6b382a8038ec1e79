package org.poplarshift.core.idempotency

/** What to do with a request that carries a key. */
sealed interface RequestDecision {
    /** Nobody has the key: append [RequestRecord.RequestStarted]. */
    data object Start : RequestDecision

    /** The start is in the log and is the first: dispatch the request. */
    data class Run(val startedOffset: Long) : RequestDecision

    /** It was answered; the answer is in the log at [finishedOffset]. */
    data class Replay(val requestId: String, val finishedOffset: Long) : RequestDecision

    /** Another node runs it. */
    data object InProgress : RequestDecision

    /** The node that started it is gone and recorded no answer. */
    data object OutcomeUnknown : RequestDecision

    /** The key was used for other content. */
    data object ContentMismatch : RequestDecision
}
