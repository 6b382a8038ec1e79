package org.poplarshift.core.stream

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a table of origins that grows without bound, or that forgets a stream that may still be resumed. */
class StreamOriginTableTest :
    FunSpec({
        data class Case(val name: String, val recordedMillis: List<Long>, val nowMillis: Long, val found: Set<Int>)
        listOf(
            Case("those within the retention", listOf(0, 50, 100), 149, setOf(1, 2)),
            Case("none after the retention", listOf(0, 50, 100), 200, emptySet()),
            Case("the newest above the maximum", listOf(0, 1, 2, 3), 10, setOf(1, 2, 3)),
        ).forEach { case ->
            test("the table finds ${case.name}") {
                val table = StreamOriginTable(maximumEntries = 3, retentionMillis = 100)
                val origins = case.recordedMillis.indices.map { StreamOrigin("service", "$it") }
                origins.forEachIndexed { i, origin -> table.record("s$i", origin, case.recordedMillis[i]) }
                origins.indices.filter { table.find("s$it", case.nowMillis) == origins[it] }.toSet() shouldBe case.found
                table.expire(case.nowMillis)
                table.recent(0).keys shouldBe case.found.map { "s$it" }.toSet()
            }
        }
    })
