package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against contents that are kept in memory and against headers or contents that are cut off. */
class RecordAssemblerTest :
    FunSpec({
        val items = List(20) { ProposedItem("item$it", "/path/$it", emptyMap(), tokens = 10, bodyBytes = 50) }
        val proposal = SubmissionRecord.Proposed("s", "org", "route", "host", "service", 0, 0, 1, 2, 3, items)
        val bodies = ByteArray(1_000) { it.toByte() }

        // The header has about 2,000 bytes.
        listOf(100, 700, 1_900, 2_100, 10_000).forEach { limit ->
            val values = RecordFormat.encode("id", proposal, bodies, limit)
            val headerBytes = values.sumOf { it.value.size } - bodies.size

            test("parts of at most $limit bytes in the order of their keys are shortened to the header") {
                val assembler = RecordAssembler()
                val shortened = values.sortedBy { it.key }.associate { it.key to assembler.shorten(it.key, it.value) }
                shortened.values.sumOf { it.size } shouldBe headerBytes
            }

            test("shortened parts of at most $limit bytes are assembled, and each body is found") {
                val pages = RecordAssembler()
                val shortened = values.sortedBy { it.key }.associate { it.key to pages.shorten(it.key, it.value) }
                val assembler = RecordAssembler()
                val assembled = values.mapIndexedNotNull { offset, value ->
                    assembler.add(offset.toLong(), value.key, shortened.getValue(value.key), value.value.size)
                }.single()
                assembled.record shouldBe proposal
                assembled.content.length shouldBe bodies.size
                items.indices.forEach { index ->
                    val body = assembled.content.slice(50 * index, 50)
                    body.extract(body.parts.map { values[it.offset.toInt()].value }).toList() shouldBe
                        bodies.toList().subList(50 * index, 50 * index + 50)
                }
            }
        }

        test("a part that precedes the first one is kept whole") {
            val values = RecordFormat.encode("id", proposal, bodies, maximumBytes = 1_000)
            val assembler = RecordAssembler()
            val assembled = values.asReversed().mapNotNull { assembler.add(0, it.key, it.value) }.single()
            assembled.record shouldBe proposal
            assembled.content.length shouldBe bodies.size
        }

        data class SliceCase(val from: Int, val length: Int, val expectedOffsets: List<Long>)
        listOf(
            SliceCase(from = 0, length = 5, expectedOffsets = listOf(0)),
            SliceCase(from = 5, length = 5, expectedOffsets = listOf(1)),
            SliceCase(from = 4, length = 2, expectedOffsets = listOf(0, 1)),
            SliceCase(from = 4, length = 7, expectedOffsets = listOf(0, 1, 2)),
            SliceCase(from = 10, length = 2, expectedOffsets = listOf(2)),
            SliceCase(from = 3, length = 0, expectedOffsets = emptyList()),
        ).forEach { case ->
            test("a slice needs only the parts that hold it: $case") {
                val parts = listOf(5, 5, 2).mapIndexed { index, bytes -> RecordPart("k$index", index.toLong(), bytes) }
                val values = listOf(listOf<Byte>(0, 1, 2, 3, 4), listOf<Byte>(5, 6, 7, 8, 9), listOf<Byte>(10, 11))
                val slice = RecordContent.of(parts, start = 0, length = 12).slice(case.from, case.length)
                slice.parts.map { it.offset } shouldBe case.expectedOffsets
                slice.extract(slice.parts.map { values[it.offset.toInt()].toByteArray() }).toList() shouldBe
                    (case.from until case.from + case.length).map { it.toByte() }
            }
        }
    })
