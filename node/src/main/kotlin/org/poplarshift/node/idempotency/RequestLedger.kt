package org.poplarshift.node.idempotency

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** Makes sure that a request with an `Idempotency-Key` on a non-idempotent route runs at most once in the fleet. */
interface RequestLedger {
    /** Records the start of a request before it is dispatched. */
    suspend fun begin(organisation: String, idempotencyKey: String, digest: String): LedgerDecision

    /** Records the answer of a request that [begin] allowed to run. */
    suspend fun finish(started: LedgerDecision.Run, status: Int, contentType: String, body: String)

    /** Records that a request that [begin] allowed to run certainly did not run. */
    suspend fun abandon(started: LedgerDecision.Run)
}

/** What to do with a request that carries an `Idempotency-Key`. */
sealed interface LedgerDecision {
    /** Its start is in the log and no other request has the key: dispatch it. */
    data class Run(val organisation: String, val keyHash: String, val offset: Long) : LedgerDecision

    /** It ran before; give the recorded answer. */
    data class Replay(val status: Int, val contentType: String, val body: String) : LedgerDecision

    /** It must not be dispatched. */
    data class Refused(val reason: RefusalReason, val ran: RunStatus) : LedgerDecision
}
