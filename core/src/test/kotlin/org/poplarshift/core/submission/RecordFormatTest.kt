package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against records that are joined from parts of others or lose bytes. */
class RecordFormatTest :
    FunSpec({
        val record = SubmissionRecord.Result("submission", "item", isComplete = true)
        val content = ByteArray(1_000) { it.toByte() }

        listOf(50, 100, 999, 10_000).forEach { limit ->
            test("a record in values of at most $limit bytes comes back whole") {
                val values = RecordFormat.encode("id", record, content, limit)
                values.all { it.value.size <= limit } shouldBe true
                val assembler = RecordAssembler()
                val whole = values.mapNotNull { assembler.add(it.key, it.value) }.single()
                whole.decoded.record shouldBe record
                whole.decoded.content.toList() shouldBe content.toList()
                whole.keys shouldBe values.map { it.key }
            }
        }

        test("parts of two records may come in between each other, and other keys are ignored") {
            val first = RecordFormat.encode("a", record, content, 400)
            val second = RecordFormat.encode("b", record, content, 400)
            val assembler = RecordAssembler()
            assembler.add("something else", ByteArray(3)) shouldBe null
            val ids = first.zip(second).flatMap { (one, other) -> listOf(one, other) }
                .mapNotNull { assembler.add(it.key, it.value)?.id }
            ids shouldBe listOf("a", "b")
        }
    })
