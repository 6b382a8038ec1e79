package org.poplarshift.node.idempotency

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** Ensures that a request with an `Idempotency-Key` on a non-idempotent route runs at most once in the fleet. */
interface RequestLedger {
    /** Records the start of a request before it is dispatched. */
    suspend fun begin(organisation: String, idempotencyKey: String, digest: String): LedgerDecision

    /** Records the response to a request that [begin] allowed to run. */
    suspend fun finish(started: LedgerDecision.Run, status: Int, contentType: String, body: String)

    /** Records that a request that [begin] allowed to run is known not to have run. */
    suspend fun abandon(started: LedgerDecision.Run)
}

/** The decision about a request with an `Idempotency-Key`. */
sealed interface LedgerDecision {
    /** The request must be dispatched: its start is in the log and no other request uses the key. */
    data class Run(val organisation: String, val keyHash: String, val offset: Long) : LedgerDecision

    /** The request has already run; the caller receives the recorded response. */
    data class Replay(val status: Int, val contentType: String, val body: String) : LedgerDecision

    /** The request must not be dispatched. */
    data class Refused(val reason: RefusalReason, val ran: RunStatus) : LedgerDecision
}
