package org.poplarshift.serving.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.core.submission.RecordContent
import org.poplarshift.core.submission.RecordPart
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult

/** Guards against bodies and outputs that are lost, belong to another record or cost more reads than needed. */
class PartitionContentsTest :
    FunSpec({
        val values = listOf("b:0:2", "a:0:12", "b:1:2", "a:10:12", "a:1:12").mapIndexed { offset, key ->
            KeyedValue(key, ByteArray(100) { (10 * offset).toByte() })
        }

        fun part(offset: Int) = RecordPart(values[offset].key, offset.toLong(), 100)
        suspend fun filledLog() = FakeLog().also { it.append("t", 0, values) }
        fun contents(log: PartitionedLog, cacheBytes: Long = 0) =
            PartitionContents(log, "t", "c", 0, ContentCache(cacheBytes))

        data class Case(val name: String, val change: FakeLog.() -> Unit, val isReadable: Boolean = true)
        listOf(
            Case("the log holds all records", {}),
            Case("older records have been deleted from the log", { firstOffset = 5 }),
            Case("some older records have been deleted from the log", { firstOffset = 2 }),
            Case("the log is down", { isDown = true }, isReadable = false),
        ).forEach { case ->
            test("a content that spans two records is read if possible: ${case.name}") {
                val log = filledLog().apply(case.change)
                val content = RecordContent.of(listOf(part(0), part(2)), start = 40, length = 100)
                contents(log).read(content)?.toList() shouldBe
                    (List(60) { 0.toByte() } + List(40) { 20.toByte() }).takeIf { case.isReadable }
            }

            test("each record is found by its key and offset: ${case.name}") {
                val log = filledLog().apply(case.change)
                values.indices.forEach { offset ->
                    val content = RecordContent.of(listOf(part(offset)), start = 0, length = 1)
                    contents(log).read(content)?.single() shouldBe (10 * offset).toByte().takeIf { case.isReadable }
                }
            }
        }

        test("a record that was removed or replaced is not mistaken for another one") {
            val log = filledLog().apply { firstOffset = 7 }
            log.append("t", 0, listOf(KeyedValue("a:1:12", ByteArray(0)), KeyedValue("b:0:2", ByteArray(100) { 1 })))
            listOf(0, 4).forEach {
                contents(log).read(RecordContent.of(listOf(part(it)), start = 0, length = 1)) shouldBe null
            }
        }

        test("concurrent reads of adjacent records cost one call, and later reads none") {
            var reads = 0
            val log = filledLog().apply { readDelayMillis = 20 }
            val countingLog = object : PartitionedLog by log {
                override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult {
                    reads++
                    return log.read(topic, partition, from, waitMillis)
                }
            }
            val contents = contents(countingLog, cacheBytes = 10_000)
            repeat(2) {
                coroutineScope {
                    values.indices.map {
                        async { contents.read(RecordContent.of(listOf(part(it)), start = 0, length = 1)) }
                    }.awaitAll().map { it?.single() } shouldBe values.map { it.value.first() }
                }
                log.isDown = true
            }
            reads shouldBe 1
        }
    })
