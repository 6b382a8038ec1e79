package org.poplarshift.node

/** How a [Rehearsal] has ended. */
sealed class RehearsalResult {
    /** The node has started. [failures] holds the cause for each request without a response. */
    data class Started(val failures: List<Throwable>) : RehearsalResult()

    /** The node could not start. */
    data class NotStarted(val cause: Throwable) : RehearsalResult()
}
