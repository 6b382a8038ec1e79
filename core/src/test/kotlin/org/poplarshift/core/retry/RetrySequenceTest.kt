package org.poplarshift.core.retry

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.retry.RetryDecision.Complete
import org.poplarshift.core.retry.RetryDecision.GiveUp
import org.poplarshift.core.retry.RetryDecision.Retry
import org.poplarshift.core.verdict.RefusalReason.CANCELLED
import org.poplarshift.core.verdict.RefusalReason.CONNECTION_LOST
import org.poplarshift.core.verdict.RefusalReason.CONNECT_FAILED
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.core.verdict.Verdict.MayHaveRun
import org.poplarshift.core.verdict.Verdict.NotRun

/** Guards against a second run of a request that must run at most once, and against false "not run" reports. */
class RetrySequenceTest :
    FunSpec({
        data class Case(
            val name: String,
            val idempotent: Boolean,
            val bytesPassedOn: Boolean,
            val verdicts: List<Verdict>,
            val expected: RetryDecision,
            val share: Double = 0.1,
        )

        val lost = MayHaveRun(CONNECTION_LOST)
        val refused = NotRun(CONNECT_FAILED)
        listOf(
            Case("a response is final", true, false, listOf(Verdict.Answered(500)), Complete),
            Case("not run, idempotent", true, false, listOf(refused), Retry(CONNECT_FAILED)),
            Case("not run, not idempotent", false, false, listOf(refused), Retry(CONNECT_FAILED)),
            Case("may have run, idempotent", true, false, listOf(lost), Retry(CONNECTION_LOST)),
            Case(
                "may have run, not idempotent",
                false,
                false,
                listOf(lost),
                GiveUp(CONNECTION_LOST, RunStatus.MAY_HAVE_RUN, RetryStopReason.NOT_IDEMPOTENT),
            ),
            Case(
                "part of the response forwarded",
                true,
                true,
                listOf(lost),
                GiveUp(CONNECTION_LOST, RunStatus.MAY_HAVE_RUN, RetryStopReason.BYTES_PASSED_ON),
            ),
            Case(
                "an earlier attempt may have run",
                true,
                false,
                listOf(lost, refused, refused),
                GiveUp(CONNECT_FAILED, RunStatus.MAY_HAVE_RUN, RetryStopReason.ATTEMPTS_SPENT),
            ),
            Case(
                "no retry budget",
                true,
                false,
                listOf(refused),
                GiveUp(CONNECT_FAILED, RunStatus.NOT_RUN, RetryStopReason.BUDGET_SPENT),
                share = 0.0,
            ),
            Case(
                "the caller has disconnected",
                true,
                false,
                listOf(NotRun(CANCELLED)),
                GiveUp(CANCELLED, RunStatus.NOT_RUN, RetryStopReason.NOT_A_WORKER_FAILURE),
            ),
        ).forEach { case ->
            test("${case.name}: ${case.expected}") {
                val sequence = RetrySequence(case.idempotent, RetryBudget(case.share))
                case.verdicts.map { sequence.afterAttempt(it, case.bytesPassedOn) }.last() shouldBe case.expected
            }
        }

        test("retries stay within the budget share of first attempts when every attempt fails") {
            val budget = RetryBudget(share = 0.1)
            val retries = (1..10_000).sumOf {
                val sequence = RetrySequence(idempotent = true, budget = budget)
                generateSequence { sequence.afterAttempt(refused, bytesPassedOn = false) }
                    .takeWhile { it is Retry }
                    .count()
            }
            // 10 is the initial balance of a budget.
            (retries in 990..1_010) shouldBe true
        }
    })
