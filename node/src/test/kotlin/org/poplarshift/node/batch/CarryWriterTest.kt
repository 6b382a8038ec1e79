package org.poplarshift.node.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.node.WallClock
import org.poplarshift.node.fixture.FakeLogService
import org.poplarshift.node.fixture.RunningNode
import org.poplarshift.ports.ReadResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson

/** Tests requirement R1 for jobs that outlive log retention: without re-appended records their results are lost. */
class CarryWriterTest :
    FunSpec({
        suspend fun carry(node: RunningNode, key: JobKey) = withContext(node.node.context.scope.coroutineContext) {
            val batchLog = node.node.batch.batchLog
            val job = checkNotNull(batchLog.index.find(key))
            val later = WallClock { System.currentTimeMillis() + 13 * 3_600_000L }
            val sender = ResultSender(node.node.context, batchLog)
            val writer = CarryWriter(
                node.node.context,
                batchLog,
                BatchBodies(batchLog),
                sender,
                slots = { setOf(job.slot) },
                wallClock = later,
                periodMillis = 20,
            )
            writer.start()
            withTimeout(BatchFixture.DEADLINE_MILLIS) {
                while (batchLog.index.find(key)?.anchorOffset == job.anchorOffset) delay(10)
            }
            checkNotNull(batchLog.index.find(key)).anchorOffset
        }

        test("a reader that starts after the original records were removed finds the carried job and its results") {
            val log = FakeLogService()
            BatchFixture(log).use { fixture ->
                val node = fixture.start()
                fixture.upload(node, "night", fixture.modelItems(250))
                fixture.await(node, "night") { it.state == JobPhase.ENDED }
                val anchor = carry(node, JobKey("office", "night"))
                val late = BatchIndex(firstOffset = anchor)
                val records = (log.read(LogStream.BATCH, anchor, 1_000) as ReadResult.Records).records
                val serializer = LogEnvelope.serializer(BatchRecord.serializer())
                val effects = records.map {
                    late.apply(it.offset, WireJson.lenient.decodeFromString(serializer, it.record).record)
                }
                effects.count { it is BatchResult.Carried } shouldBe 1
                late.find(JobKey("office", "night"))?.resultCount shouldBe 250
                fixture.results(node, "night") shouldContainExactlyInAnyOrder List(250) { "item$it" }
            }
        }
    })
