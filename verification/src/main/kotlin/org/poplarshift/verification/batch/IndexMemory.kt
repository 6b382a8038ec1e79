package org.poplarshift.verification.batch

import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.ChunkReference
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.verdict.RunStatus
import java.util.UUID

/** Measures the heap usage of [BatchIndex]. */
object IndexMemory {
    private const val CHUNK = 200

    /** Returns the heap bytes per job with [items] items, of which half or, if [ended], all have a result. */
    fun bytesPerJob(jobs: Int, items: Int, ended: Boolean): Double {
        val before = usedBytes()
        val index = BatchIndex()
        repeat(jobs) { addJob(index, it, items, ended) }
        val after = usedBytes()
        check(index.allJobs.size == jobs)
        return (after - before).toDouble() / jobs
    }

    private fun addJob(index: BatchIndex, number: Int, items: Int, ended: Boolean) {
        val uploadId = UUID(0, number.toLong()).toString()
        val chunks = (0 until items step CHUNK).map { ChunkReference(offset = it.toLong(), first = it) }
        val accepted = BatchRecord.JobAccepted(
            uploadId = uploadId,
            organisation = String("organisation".toCharArray()),
            jobId = "job-$number",
            digest = "%064x".format(number),
            itemCount = items,
            slot = Slot(String("zone".toCharArray()), number % 3),
            upstream = String("upstream".toCharArray()),
            idempotent = true,
            chunks = chunks,
            acceptedAtMillis = 0,
            readableMillis = 0,
            through = index.nextOffset - 1,
        )
        index.apply(index.nextOffset, accepted)
        // An unfinished job has results for the second half of its items, so that its bit set has the full length.
        val recorded = if (ended) 0 until items else items / 2 until items
        recorded.chunked(CHUNK).forEach { chunk ->
            val results = chunk.map { ItemResult(it, "", ItemOutcome.DONE, RunStatus.RAN) }
            index.apply(index.nextOffset, BatchRecord.ResultsRecorded(uploadId, results, atMillis = 0))
        }
    }

    private fun usedBytes(): Long {
        repeat(3) {
            System.gc()
            Thread.sleep(50)
        }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }
}
