package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against records that contain parts of other records or lose bytes when they are split and joined. */
class RecordFormatTest :
    FunSpec({
        val record = SubmissionRecord.Result("submission", "item", isComplete = true)
        val content = ByteArray(1_000) { it.toByte() }

        listOf(50, 100, 999, 10_000).forEach { limit ->
            test("a record split into values of at most $limit bytes is restored completely") {
                val values = RecordFormat.encode("id", record, content, limit)
                values.all { it.value.size <= limit } shouldBe true
                val assembler = RecordAssembler()
                val assembled = values.mapIndexedNotNull { offset, value ->
                    assembler.add(offset.toLong(), value.key, value.value)
                }.single()
                assembled.record shouldBe record
                assembled.content.parts.forEach { it.key shouldBe values[it.offset.toInt()].key }
                assembled.content.extract(assembled.content.parts.map { values[it.offset.toInt()].value })
                    .toList() shouldBe content.toList()
                assembled.keys shouldBe values.map { it.key }
            }
        }

        test("interleaved parts of two records are assembled, and other keys are ignored") {
            val first = RecordFormat.encode("a", record, content, 400)
            val second = RecordFormat.encode("b", record, content, 400)
            val assembler = RecordAssembler()
            assembler.add(0, "something else", ByteArray(3)) shouldBe null
            val ids = first.zip(second).flatMap { (one, other) -> listOf(one, other) }
                .mapNotNull { assembler.add(0, it.key, it.value)?.id }
            ids shouldBe listOf("a", "b")
        }
    })
