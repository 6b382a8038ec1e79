package org.poplarshift.core.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/** Guards against unfair scheduling, too many attempts, and batch streams that do not yield to online requests. */
class BatchSchedulerTest :
    FunSpec({
        fun jobOf(index: BatchIndex, organisation: String, items: Int, idempotent: Boolean = true): JobState {
            val accepted = BatchRecord.JobAccepted(
                uploadId = "upload-$organisation",
                organisation = organisation,
                jobId = "job",
                digest = "digest",
                itemCount = items,
                slot = Slot("zone", 0),
                upstream = "upstream",
                idempotent = idempotent,
                chunks = listOf(ChunkReference(0, 0)),
                acceptedAtMillis = 0,
                readableMillis = 0,
                through = -1,
            )
            index.apply(index.nextOffset, accepted)
            return index.findUpload(accepted.uploadId) ?: error("not accepted")
        }
        val verdicts = { RunVerdictMapper(maximumAttempts = 3) }

        test("organisations are served in proportion to their weights, regardless of the sizes of their jobs") {
            val index = BatchIndex()
            val scheduler = BatchScheduler(verdicts) { if (it == "heavy") 3.0 else 1.0 }
            listOf("heavy" to 200, "light" to 2_000).forEach { (name, items) ->
                scheduler.add(jobOf(index, name, items))
            }
            val runs = List(100) { scheduler.next { true } }
            runs.count { it?.organisation == "heavy" } shouldBeInRange 74..76
        }

        test("an item fails after its last attempt, and a yielded run does not count as an attempt") {
            val scheduler = BatchScheduler(verdicts)
            scheduler.add(jobOf(BatchIndex(), "organisation", 1))
            val yielded = checkNotNull(scheduler.next { true })
            scheduler.yieldRun(yielded)
            scheduler.finish(yielded, Verdict.Answered(200)) shouldBe RunOutcome.Dropped
            val outcomes = List(3) { scheduler.finish(checkNotNull(scheduler.next { true }), Verdict.Answered(503)) }
            outcomes.map { it is RunOutcome.Failed } shouldContainExactly listOf(false, false, true)
            scheduler.next { true } shouldBe null
        }

        test("a non-idempotent item with an unknown outcome never runs again") {
            val scheduler = BatchScheduler(verdicts)
            scheduler.add(jobOf(BatchIndex(), "organisation", 1, idempotent = false))
            val run = checkNotNull(scheduler.next { true })
            (scheduler.finish(run, Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)) is RunOutcome.Failed) shouldBe
                true
            scheduler.next { true } shouldBe null
        }

        test("the newest streams yield to online requests, except those that are not cancellable") {
            val streams = WorkerBatchStreams<Int>()
            (1..4).forEach { streams.start(it, cancellable = it != 3) }
            streams.newestCancellable(2) shouldContainExactly listOf(4, 2)
            streams.newestCancellable(9) shouldContainExactly listOf(4, 2, 1)
            streams.end(4)
            streams.newestCancellable(1) shouldContainExactly listOf(2)
        }
    })
