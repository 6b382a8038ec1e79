package org.poplarshift.node.caller

import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.idempotency.LedgerDecision

/** The outcome of an online request. */
sealed interface OnlineResult {
    /** The complete response of a worker was forwarded. */
    data object Completed : OnlineResult

    /** The response was recorded earlier and must be sent again. */
    data class Replayed(val response: LedgerDecision.Replay) : OnlineResult

    /** There is no complete response. */
    data class Failed(val error: ErrorResponse) : OnlineResult
}
