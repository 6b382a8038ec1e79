package org.poplarshift.node.dispatch

import org.poplarshift.core.routing.LoadReport

/** The outcome of asking a worker for its load. */
sealed interface LoadPollResult {
    /** The worker answered. */
    data class Reported(val report: LoadReport) : LoadPollResult

    /** The worker's host refused the connection: no process listens there. */
    data object Refused : LoadPollResult

    /** No usable answer came; the worker may be alive. */
    data class NoAnswer(val reason: String) : LoadPollResult
}
