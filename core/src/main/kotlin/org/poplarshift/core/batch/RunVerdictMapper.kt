package org.poplarshift.core.batch

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.core.verdict.Verdict

/** Maps the verdict of a run to the outcome of its item: success, failure or retry. */
class RunVerdictMapper(private val maximumAttempts: Int) {
    fun map(run: BatchRun, verdict: Verdict): RunOutcome = when (verdict) {
        is Verdict.NotRun -> RunOutcome.Retry(verdict.reason)
        is Verdict.MayHaveRun -> mapUnknownOutcome(run, verdict.reason)
        is Verdict.Answered -> mapResponse(run, verdict.status)
    }

    private fun mapUnknownOutcome(run: BatchRun, reason: RefusalReason): RunOutcome = when {
        !run.idempotent -> RunOutcome.Failed(RefusalReason.OUTCOME_UNKNOWN, RunStatus.MAY_HAVE_RUN)
        isLastAttempt(run) -> RunOutcome.Failed(reason, RunStatus.MAY_HAVE_RUN)
        else -> RunOutcome.Retry(reason)
    }

    private fun mapResponse(run: BatchRun, status: Int): RunOutcome = when {
        status in SUCCESS -> RunOutcome.Done(status)
        status in PERMANENT || !run.idempotent || isLastAttempt(run) ->
            RunOutcome.Failed(RefusalReason.UPSTREAM_REFUSED, RunStatus.RAN, status)
        else -> RunOutcome.Retry(RefusalReason.UPSTREAM_REFUSED)
    }

    private fun isLastAttempt(run: BatchRun) = run.attempt >= maximumAttempts

    private companion object {
        val SUCCESS = 200..399
        val PERMANENT = 400..422
    }
}
