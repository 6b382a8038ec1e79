package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/**
 * Guards against the pattern of a day with a burst of submissions (six times the usual for some seconds): in plain order
 * of due times the overdue items run first, and those behind them become overdue as well.
 */
class BatchOrderingTest :
    FunSpec({
        data class Case(val name: String, val untilDue: List<Long>, val expected: List<Long>)
        listOf(
            Case("the first to be due goes first", listOf(9_000, 5_000, 7_000), listOf(5_000, 7_000, 9_000)),
            Case("overdue items go last", listOf(-2_000, 9_000, 5_000), listOf(5_000, 9_000, -2_000)),
            Case("so do items that can't be done in time", listOf(3_000, 9_000), listOf(9_000, 3_000)),
            Case("among those the longest overdue goes first", listOf(500, -4_000), listOf(-4_000, 500)),
        ).forEach { case ->
            test(case.name) {
                BatchOrdering.sort(case.untilDue) { it } shouldBe case.expected
            }
        }

        class Item(val sentMillis: Long) {
            val dueMillis = sentMillis + 18_000
        }

        fun onTime(items: List<Item>, slots: Int, sort: (List<Item>, Long) -> List<Item>): Int {
            var open = items
            var count = 0
            var nowMillis = 0L
            while (open.isNotEmpty()) {
                val running = sort(open.filter { it.sentMillis <= nowMillis }, nowMillis).take(slots)
                nowMillis += RUN_MILLIS
                count += running.count { it.dueMillis >= nowMillis }
                open = open - running.toSet()
            }
            return count
        }

        test("after a burst of submissions more items are on time than in plain order of due times") {
            // Ten submissions of ten items at once and then as many items as the slots that are left to batch can run.
            val items = List(100) { Item(sentMillis = 0) } + List(96) { Item(sentMillis = 1L + it / 16 * RUN_MILLIS) }
            val byDueTime = onTime(items, slots = 16) { waiting, _ -> waiting.sortedBy { it.dueMillis } }
            val ordered = onTime(items, slots = 16) { waiting, now ->
                BatchOrdering.sort(waiting) { it.dueMillis - now }
            }
            ordered shouldBeGreaterThan byDueTime
        }
    }) {
    private companion object {
        const val RUN_MILLIS = 4_500L
    }
}
