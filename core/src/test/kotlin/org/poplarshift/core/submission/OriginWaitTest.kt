package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against output that is dropped although its version is back soon, and against items that wait without end. */
class OriginWaitTest :
    FunSpec({
        data class Case(
            val name: String,
            val isOver: Boolean,
            val nowMillis: Long,
            val untilDueMillis: Long = 60_000,
            val events: OriginWait.() -> Unit,
        )
        listOf(
            Case("nothing has happened", false, nowMillis = 9_000, untilDueMillis = 0) {},
            Case("no worker for less than two seconds", false, nowMillis = 2_999) { onFailed(1_000) },
            Case("no worker for two seconds", true, nowMillis = 3_000) {
                onFailed(1_000)
                onFailed(2_500)
            },
            Case("the output has grown since", false, nowMillis = 9_000) {
                onFailed(1_000)
                onContinued()
            },
            Case("full since", false, nowMillis = 9_000) {
                onFailed(1_000)
                onFull()
            },
            Case("full, with time for a whole run", false, nowMillis = 9_000, untilDueMillis = 6_501) { onFull() },
            Case("full, without time for more than a whole run", true, nowMillis = 9_000, untilDueMillis = 6_500) {
                onFull()
            },
            Case("no longer full", false, nowMillis = 9_000, untilDueMillis = 0) {
                onFull()
                onContinued()
            },
        ).forEach { case ->
            test("an item ${if (case.isOver) "no longer waits" else "waits"} for its version: ${case.name}") {
                OriginWait().apply(case.events).isOver(case.nowMillis, case.untilDueMillis) shouldBe case.isOver
            }
        }
    })
