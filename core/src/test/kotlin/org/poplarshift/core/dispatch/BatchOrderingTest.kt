package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/**
 * Guards against cascading lateness after a burst of submissions (six times the usual rate for some seconds). In plain
 * order of due times the overdue items run first, and the items behind them become overdue as well.
 */
class BatchOrderingTest :
    FunSpec({
        data class Case(val name: String, val untilDue: List<Long>, val expected: List<Long>)
        listOf(
            Case("the earliest due time runs first", listOf(9_000, 5_000, 7_000), listOf(5_000, 7_000, 9_000)),
            Case("overdue items run last", listOf(-2_000, 9_000, 5_000), listOf(5_000, 9_000, -2_000)),
            Case("items that cannot finish in time run last", listOf(3_000, 9_000), listOf(9_000, 3_000)),
            Case("among late items the longest overdue runs first", listOf(500, -4_000), listOf(-4_000, 500)),
        ).forEach { case ->
            test(case.name) {
                BatchOrdering.sort(case.untilDue) { it } shouldBe case.expected
            }
        }

        test("the time left of an item is read once, so that a clock that moves does not change the order meanwhile") {
            val reads = HashMap<Int, Int>()
            var nowMillis = 0L
            val items = List(2_000) { it }
            val sorted = BatchOrdering.sort(items) { item ->
                reads.merge(item, 1, Int::plus)
                item % 50 * 200L - nowMillis++
            }
            sorted.toSet() shouldBe items.toSet()
            reads.values.toSet() shouldBe setOf(1)
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

        test("more items finish on time after a burst of submissions than in plain order of due times") {
            // Ten submissions of ten items arrive at once, followed by as many items as the batch slots can run.
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
