package org.poplarshift.core.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.ownership.Slot

/**
 * Guards against readers that derive different jobs from the same log because a part of it had left retention before
 * the later reader started.
 */
class BatchIndexTest :
    FunSpec({
        fun accepted(uploadId: String, through: Long, digest: String = "digest") = BatchRecord.JobAccepted(
            uploadId = uploadId,
            organisation = "organisation",
            jobId = "job",
            digest = digest,
            itemCount = 3,
            slot = Slot("zone", 0),
            upstream = "upstream",
            idempotent = true,
            chunks = listOf(ChunkReference(0, 0)),
            acceptedAtMillis = 0,
            readableMillis = 100,
            through = through,
        )

        fun indexOf(firstOffset: Long, vararg records: Pair<Long, BatchRecord>): BatchIndex {
            val index = BatchIndex(firstOffset)
            records.filter { it.first >= firstOffset }.forEach { (offset, record) -> index.apply(offset, record) }
            return index
        }

        fun uploadAt(index: BatchIndex) = index.find(JobKey("organisation", "job"))?.uploadId

        val winner = 10L to accepted("winner", through = 9)
        val loser = 12L to accepted("loser", through = 9)

        test("a reader that did not read the winning acceptance does not create a job from a losing one") {
            uploadAt(indexOf(0, winner, loser)) shouldBe "winner"
            uploadAt(indexOf(11, winner, loser)) shouldBe null
            // Without the bound on `through`, a late reader would run the items of the losing upload.
            uploadAt(indexOf(11, winner, 12L to accepted("loser", through = 11))) shouldBe "loser"
        }

        test("every reader applies a complete snapshot of a job, and no reader applies one that misses a record") {
            val job = checkNotNull(indexOf(0, winner).findUpload("winner"))
            val snapshot = job.snapshot(listOf(ChunkReference(18, 0)), emptyList())
            val cancel = 15L to BatchRecord.JobCancelled("winner", atMillis = 5)
            val carried = 20L to BatchRecord.JobCarried(snapshot, through = 14, atMillis = 9)
            for (firstOffset in listOf(0L, 11L, 15L)) {
                uploadAt(indexOf(firstOffset, winner, loser, carried)) shouldBe "winner"
                val cancelled = indexOf(firstOffset, winner, loser, cancel, carried).findUpload("winner")
                cancelled?.phase shouldBe JobPhase.CANCELLED.takeIf { firstOffset == 0L }
            }
            uploadAt(indexOf(16, winner, cancel, carried)) shouldBe null
        }

        test("the same content is the same job, other content is a conflict, and the identifier is free after expiry") {
            val index = indexOf(0, winner)
            val job = checkNotNull(index.findUpload("winner"))
            index.apply(11, accepted("again", through = 9)) shouldBe BatchResult.SameJob(job)
            index.apply(12, accepted("other", through = 9, digest = "changed")) shouldBe BatchResult.Conflict(job)
            index.apply(13, BatchRecord.JobCancelled("winner", atMillis = 50))
            index.apply(14, accepted("late", through = 13).copy(acceptedAtMillis = 150)) shouldBe
                BatchResult.SameJob(job)
            index.apply(15, accepted("new", through = 14).copy(acceptedAtMillis = 151))
            uploadAt(index) shouldBe "new"
        }
    })
