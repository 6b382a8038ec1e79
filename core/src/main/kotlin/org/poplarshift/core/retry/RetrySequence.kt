package org.poplarshift.core.retry

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.core.verdict.Verdict

/**
 * Decides after each attempt of one request whether the request is retried.
 *
 * The sequence records whether any earlier attempt may have run: a request whose first attempt may have run and whose
 * second attempt did not run must not be reported as not run.
 *
 * @param idempotent whether the request may run more than once
 * @param budget the retry budget of the request's upstream
 * @param maximumAttempts maximum number of attempts including the first
 */
class RetrySequence(
    private val idempotent: Boolean,
    private val budget: RetryBudget,
    private val maximumAttempts: Int = MAXIMUM_ATTEMPTS,
) {
    private var attempts = 0

    /** Whether any attempt so far may have run. Also valid when the request ends between two attempts. */
    var ran = RunStatus.NOT_RUN
        private set

    /**
     * Records the outcome of an attempt and returns what follows.
     *
     * @param bytesPassedOn whether any byte of a response has been forwarded to the caller
     */
    fun afterAttempt(verdict: Verdict, bytesPassedOn: Boolean): RetryDecision {
        attempts++
        if (attempts == 1) budget.onFirstAttempt()
        ran = maxOf(ran, verdict.ran)
        val reason = when (verdict) {
            is Verdict.Answered -> return RetryDecision.Complete
            is Verdict.NotRun -> verdict.reason
            is Verdict.MayHaveRun -> verdict.reason
        }
        val stop = stopReason(verdict, reason, bytesPassedOn)
        return if (stop == null) RetryDecision.Retry(reason) else RetryDecision.GiveUp(reason, ran, stop)
    }

    private fun stopReason(verdict: Verdict, reason: RefusalReason, bytesPassedOn: Boolean): RetryStopReason? = when {
        reason !in WORKER_FAILURES -> RetryStopReason.NOT_A_WORKER_FAILURE
        bytesPassedOn -> RetryStopReason.BYTES_PASSED_ON
        verdict.ran != RunStatus.NOT_RUN && !idempotent -> RetryStopReason.NOT_IDEMPOTENT
        attempts >= maximumAttempts -> RetryStopReason.ATTEMPTS_SPENT
        !budget.trySpend() -> RetryStopReason.BUDGET_SPENT
        else -> null
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 3

        val WORKER_FAILURES = setOf(
            RefusalReason.CONNECT_FAILED,
            RefusalReason.CONNECTION_LOST,
            RefusalReason.UPSTREAM_TIMEOUT,
            RefusalReason.UPSTREAM_REFUSED,
            RefusalReason.WRONG_RESPONSE,
        )
    }
}
