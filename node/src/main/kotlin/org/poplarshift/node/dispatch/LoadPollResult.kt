package org.poplarshift.node.dispatch

import org.poplarshift.core.routing.LoadReport

/** The outcome of polling a worker for its load. */
sealed interface LoadPollResult {
    /** The worker returned a load report. */
    data class Reported(val report: LoadReport) : LoadPollResult

    /** The worker's host refused the connection: no process listens at the address. */
    data object Refused : LoadPollResult

    /** No valid response was received; the worker may still be running. */
    data class NoAnswer(val reason: String) : LoadPollResult
}
