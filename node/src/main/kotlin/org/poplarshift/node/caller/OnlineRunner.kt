package org.poplarshift.node.caller

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.idempotency.LedgerDecision
import org.poplarshift.node.idempotency.RequestLedger
import org.poplarshift.node.quota.QuotaDecision
import org.poplarshift.node.quota.QuotaGate

/**
 * Runs an online request: quota, then the ledger for requests with an `Idempotency-Key`, then attempts at workers.
 *
 * Quota is checked first, so that an organisation over its rate limit can't exhaust the append capacity of the log.
 */
class OnlineRunner(
    private val quota: QuotaGate,
    private val ledger: RequestLedger,
    private val attempts: AttemptLoop,
) {
    /** Runs [request]; [recorder] is that of [sink], or null if the request has no idempotency key. */
    suspend fun run(
        request: OnlineRequest,
        sink: CallerSink,
        recorder: ResponseRecorder?,
        progress: AttemptProgress,
    ): OnlineResult {
        val admission = request.organisation?.let { quota.admit(it) } ?: QuotaDecision.Admitted
        if (admission is QuotaDecision.Refused) {
            val message = "the organisation's rate is used up"
            val error = ErrorResponse(admission.reason, message, RunStatus.NOT_RUN, admission.retryAfterMillis)
            return OnlineResult.Failed(error)
        }
        val idempotencyKey = request.idempotencyKey ?: return attempts.run(request, sink, progress)
        return when (val decision = ledger.begin(request.organisationId, idempotencyKey, request.digest)) {
            is LedgerDecision.Replay -> OnlineResult.Replayed(decision)
            is LedgerDecision.Refused -> OnlineResult.Failed(refusal(decision))
            is LedgerDecision.Run -> runRecorded(request, sink, recorder, progress, decision)
        }
    }

    private suspend fun runRecorded(
        request: OnlineRequest,
        sink: CallerSink,
        recorder: ResponseRecorder?,
        progress: AttemptProgress,
        started: LedgerDecision.Run,
    ): OnlineResult {
        var result: OnlineResult? = null
        try {
            result = attempts.run(request, sink, progress)
            return result
        } finally {
            withContext(NonCancellable) { record(started, result, recorder, progress) }
        }
    }

    private suspend fun record(
        started: LedgerDecision.Run,
        result: OnlineResult?,
        recorder: ResponseRecorder?,
        progress: AttemptProgress,
    ) {
        val response = recorder?.recorded()
        when {
            result is OnlineResult.Completed && response != null ->
                ledger.finish(started, response.status, response.contentType, response.body)

            progress.ran == RunStatus.NOT_RUN -> ledger.abandon(started)
        }
    }

    private fun refusal(decision: LedgerDecision.Refused) =
        ErrorResponse(decision.reason, "the request with this Idempotency-Key was not run again", decision.ran)
}
