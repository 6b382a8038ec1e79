package org.poplarshift.node.idempotency

import org.poplarshift.core.verdict.Ran
import org.poplarshift.core.verdict.RefusalReason

/** Refuses every request, because without a record in the log a resend could run twice. */
class RefusingRequestLedger : RequestLedger {
    override suspend fun begin(organisation: String, idempotencyKey: String, digest: String): LedgerDecision =
        LedgerDecision.Refused(RefusalReason.LOG_UNAVAILABLE, Ran.NOT_RUN)

    override suspend fun finish(started: LedgerDecision.Run, status: Int, contentType: String, body: String) = Unit

    override suspend fun abandon(started: LedgerDecision.Run) = Unit
}
