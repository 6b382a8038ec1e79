package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.MonotonicClock

/** Guards against new connections to a worker for longer than it sends second responses. */
class MisattributionTrackerTest :
    FunSpec({
        val memory = MisattributionTracker.MEMORY_MILLIS
        data class Case(val name: String, val seenMillis: List<Long>, val nowMillis: Long, val isSuspect: Boolean)
        listOf(
            Case("none", emptyList(), 0, isSuspect = false),
            Case("one now", listOf(0), 0, isSuspect = true),
            Case("one just within the memory", listOf(0), memory - 1, isSuspect = true),
            Case("one before the memory", listOf(0), memory, isSuspect = false),
            Case("an earlier and a later one", listOf(0, memory - 1), memory, isSuspect = true),
        ).forEach { case ->
            test("after ${case.name} a worker is suspect: ${case.isSuspect}") {
                var now = 0L
                val tracker = MisattributionTracker(MonotonicClock { now })
                case.seenMillis.forEach {
                    now = it
                    tracker.onForeignBytes("w")
                }
                now = case.nowMillis
                tracker.isSuspect("w") shouldBe case.isSuspect
                tracker.isSuspect("other") shouldBe false
                tracker.expire(setOf("w"))
                tracker.isSuspect("w") shouldBe case.isSuspect
                tracker.expire(emptySet())
                tracker.isSuspect("w") shouldBe false
            }
        }
    })
