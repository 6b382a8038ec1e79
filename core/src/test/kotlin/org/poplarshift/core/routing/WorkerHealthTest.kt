package org.poplarshift.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/** Guards against routing new work to leaving, silent or failing workers, and against ejecting too many workers. */
class WorkerHealthTest :
    FunSpec({
        val settings = WorkerHealthSettings()
        val lost = Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)

        data class Case(
            val name: String,
            val reachable: Boolean,
            val atMillis: Long,
            val events: WorkerHealth.() -> Unit,
        )
        listOf(
            Case("a new worker before its first report", true, 2_000) {},
            Case("a worker that never reported", false, 2_001) {},
            Case("a worker with a recent report", true, 3_000) { onReport(LoadReport("a", 1, 0, 8), 1_000) },
            Case("a worker whose report is too old", false, 3_001) { onReport(LoadReport("a", 1, 0, 8), 1_000) },
            Case("a leaving worker", false, 1_000) { onReport(LoadReport("a", 1, 0, 8, leaving = true), 1_000) },
            Case("a worker that refused the poll", false, 100) { onPollFailed(refused = true) },
            Case("a worker whose poll timed out", true, 100) { onPollFailed(refused = false) },
            Case("a worker that refused a request", false, 100) {
                onVerdict(Verdict.NotRun(RefusalReason.CONNECT_FAILED), 50)
            },
            Case("a worker that reports after a refusal", true, 100) {
                onPollFailed(refused = true)
                onReport(LoadReport("a", 1, 0, 8), 90)
            },
        ).forEach { case ->
            test("${case.name} is reachable: ${case.reachable}") {
                WorkerHealth(settings, createdMillis = 0).apply(case.events).isReachable(case.atMillis) shouldBe
                    case.reachable
            }
        }

        test("five consecutive failures eject a worker for a doubling time; success resets, cancellation is ignored") {
            val health = WorkerHealth(settings, createdMillis = 0)
            repeat(4) { health.onVerdict(lost, 0) }
            health.onVerdict(Verdict.Answered(200), 0)
            repeat(4) { health.onVerdict(lost, 0) }
            health.onVerdict(Verdict.MayHaveRun(RefusalReason.CANCELLED), 0)
            health.isOutlier(0) shouldBe false
            health.onVerdict(Verdict.Answered(500), 0)
            health.isOutlier(4_999) shouldBe true
            health.isOutlier(5_000) shouldBe false
            health.onVerdict(lost, 5_000)
            health.isOutlier(14_999) shouldBe true
        }

        listOf(1 to 0, 2 to 1, 3 to 1, 8 to 4).forEach { (workers, ejected) ->
            test("of $workers failing workers, $ejected are ejected") {
                val health = (1..workers).associate { "w$it" to WorkerHealth(settings, createdMillis = 0) }
                health.values.forEach { worker -> repeat(5) { worker.onVerdict(lost, 0) } }
                OutlierEjection().ejected(health, 0).size shouldBe ejected
            }
        }
    })
