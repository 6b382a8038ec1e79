package org.poplarshift.core.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.stream.StreamOrigin
import java.nio.ByteBuffer

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

        data class ProgressCase(val name: String, val header: String, val record: SubmissionRecord)
        val saved = """{"type":"progress","submission":"s","item":"i","lastEvent":7"""
        val origin = """"origin":{"service":"a","softwareVersion":"v1"}"""
        val progress = SubmissionRecord.Progress("s", "i", lastEvent = 7)
        listOf(
            ProgressCase("of an earlier release", "$saved}", progress),
            ProgressCase("with an origin", "$saved,$origin}", progress.copy(origin = StreamOrigin("a", "v1"))),
            ProgressCase("with a field of a later release", "$saved,\"later\":1}", progress),
        ).forEach { case ->
            // Guards against nodes of two releases of which one can't read the records of the other.
            test("a record of progress ${case.name} is decoded") {
                val header = case.header.encodeToByteArray()
                val encoded = ByteBuffer.allocate(Int.SIZE_BYTES + header.size).putInt(header.size).put(header).array()
                RecordFormat.decodeHeader(listOf(encoded)).record shouldBe case.record
                val own = RecordFormat.encode("id", case.record, ByteArray(0), maximumBytes = 1_000).single().value
                RecordFormat.decodeHeader(listOf(own)).record shouldBe case.record
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
