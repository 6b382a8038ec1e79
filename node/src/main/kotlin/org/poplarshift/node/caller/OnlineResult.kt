package org.poplarshift.node.caller

import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.idempotency.LedgerDecision

/** How an online request ended. */
sealed interface OnlineResult {
    /** The response of a worker was passed on completely. */
    data object Completed : OnlineResult

    /** The response was recorded earlier and must be given again. */
    data class Replayed(val response: LedgerDecision.Replay) : OnlineResult

    /** There is no complete response. */
    data class Failed(val error: ErrorResponse) : OnlineResult
}
