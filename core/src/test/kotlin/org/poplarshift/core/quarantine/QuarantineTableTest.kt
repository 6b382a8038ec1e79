package org.poplarshift.core.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a quarantine status that depends on the order of updates, and against entries that never expire. */
class QuarantineTableTest :
    FunSpec({
        fun strike(worker: String, remainingMillis: Long = 1_000) = StrikeEntry(Strike("f", worker), remainingMillis)

        data class Case(val name: String, val updates: List<QuarantineUpdate>, val expected: SuspectStatus)
        listOf(
            Case("no update", emptyList(), SuspectStatus.Clear),
            Case(
                "one strike",
                listOf(QuarantineUpdate(strikes = listOf(strike("a")))),
                SuspectStatus.Suspect(setOf("a")),
            ),
            Case(
                "two strikes of the same worker",
                List(2) { QuarantineUpdate(strikes = listOf(strike("a"))) },
                SuspectStatus.Suspect(setOf("a")),
            ),
            Case(
                "strikes of two workers",
                listOf(
                    QuarantineUpdate(strikes = listOf(strike("a"))),
                    QuarantineUpdate(strikes = listOf(strike("b"))),
                ),
                SuspectStatus.Quarantined,
            ),
            Case(
                "a cleared strike and a strike of another worker",
                listOf(
                    QuarantineUpdate(strikes = listOf(strike("a"))),
                    QuarantineUpdate(cleared = listOf(strike("a"))),
                    QuarantineUpdate(strikes = listOf(strike("b"))),
                ),
                SuspectStatus.Suspect(setOf("b")),
            ),
        ).forEach { case ->
            test("the status is ${case.expected} after ${case.name}, in any order") {
                listOf(case.updates, case.updates.reversed(), case.updates + case.updates).forEach { order ->
                    val table = QuarantineTable(retentionMillis = 10_000)
                    order.forEach { table.merge(it, 0) }
                    table.statusOf("f", 0) shouldBe case.expected
                }
            }
        }

        test("strikes expire, and merging them again does not extend their lifetime") {
            val table = QuarantineTable(retentionMillis = 10_000)
            table.onWorkerCrash("f", "a", nowMillis = 0)
            table.onWorkerCrash("f", "b", nowMillis = 5_000)
            table.merge(table.snapshot(nowMillis = 9_000), nowMillis = 9_000)
            table.statusOf("f", 9_999) shouldBe SuspectStatus.Quarantined
            table.statusOf("f", 10_000) shouldBe SuspectStatus.Suspect(setOf("b"))
            table.expire(15_000)
            table.snapshot(15_000) shouldBe QuarantineUpdate()
        }

        test("a restarted node restores unexpired strikes from the log") {
            val table = QuarantineTable(retentionMillis = 10_000)
            val strikes = listOf(Strike("f", "a"), Strike("f", "b"))
            table.apply(QuarantineRecord.StrikesRecorded(strikes, 1_000), nowEpochMillis = 12_000, nowMillis = 0)
            table.statusOf("f", 0) shouldBe SuspectStatus.Clear
            table.apply(QuarantineRecord.StrikesRecorded(strikes, 1_000), nowEpochMillis = 9_000, nowMillis = 0)
            table.statusOf("f", 1_999) shouldBe SuspectStatus.Quarantined
            table.statusOf("f", 2_000) shouldBe SuspectStatus.Clear
        }
    })
