package org.poplarshift.core.batch.sequence

import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState

/** The invariants that must hold after every step. A violation throws [IllegalStateException]. */
class BatchInvariants(private val rules: SimulationRules) {
    private val acknowledged = HashMap<JobKey, String>()
    private val results = HashMap<Pair<String, Int>, ItemResult>()
    private val dispatches = HashMap<Pair<String, Int>, Int>()

    /** Requirement R1: an acknowledged job stays the job of its identifier. */
    fun acknowledged(key: JobKey, uploadId: String) {
        acknowledged[key] = uploadId
    }

    /** Removes the acknowledged jobs whose results are no longer readable, because their identifiers are free again. */
    fun expire(reference: BatchIndex, nowMillis: Long) {
        acknowledged.keys.removeIf { key -> reference.find(key)?.let { BatchIndex.isExpired(it, nowMillis) } ?: false }
    }

    /** Checks requirements R2 and R10 against the records that the dispatching node has read. */
    fun dispatched(run: BatchRun, job: JobState?) {
        check(job?.phase != JobPhase.CANCELLED) {
            "item ${run.item} of ${run.uploadId} was dispatched after cancellation"
        }
        val count = dispatches.merge(run.uploadId to run.item, 1, Int::plus) ?: 0
        check(run.idempotent || count <= 1) {
            "non-idempotent item ${run.item} of ${run.uploadId} was dispatched twice"
        }
    }

    /** Applies a record to the reference index, which reads every record, and checks the result. */
    fun observe(offset: Long, record: BatchRecord, reference: BatchIndex) {
        val applied = reference.apply(offset, record)
        if (applied is BatchResult.Started) {
            check(applied.job.phase == JobPhase.RUNNING) { "an item was started at offset $offset after cancellation" }
        }
        val valid = if (!rules.firstResultWins && record is BatchRecord.ResultsRecorded && !record.carried) {
            record.results
        } else {
            (applied as? BatchResult.Recorded)?.results.orEmpty()
        }
        val uploadId = (record as? BatchRecord.ResultsRecorded)?.uploadId ?: return
        for (result in valid) {
            val earlier = results.putIfAbsent(uploadId to result.item, result)
            check(earlier == null || earlier == result) { "item ${result.item} of $uploadId has two different results" }
        }
    }

    /** Readers of the same records agree, regardless of where they started, and find every acknowledged job. */
    fun checkView(index: BatchIndex, reference: BatchIndex, nowMillis: Long) {
        for (expected in reference.allJobs.filterNot { BatchIndex.isExpired(it, nowMillis) }) {
            val found = index.findUpload(expected.uploadId)
            checkNotNull(found) { "a reader has no job for ${expected.uploadId}" }
            check(BatchSimulation.view(found) == BatchSimulation.view(expected)) {
                "readers disagree about ${expected.uploadId}"
            }
        }
        for ((key, uploadId) in acknowledged) {
            check(reference.find(key)?.uploadId == uploadId) { "the acknowledged job $uploadId is lost" }
        }
    }

    /** Requirement R1: required records stay in retention, and every result is readable at the offset in the index. */
    fun checkReadable(reference: BatchIndex, log: SimulatedLog<BatchRecord>, nowMillis: Long) {
        for (job in reference.allJobs.filterNot { BatchIndex.isExpired(it, nowMillis) }) {
            (0 until job.chunkCount).filter(job::hasOpenItems).forEach { log.read(job.chunk(it).offset) }
            val read = (0 until job.segmentCount).flatMap { position ->
                val segment = job.segment(position)
                val record = log.read(segment.offset) as BatchRecord.ResultsRecorded
                record.results.filterIndexed { at, _ -> at !in segment.dropped }
            }
            check(read.size == job.resultCount && read.map { it.item }.toSet().size == read.size) {
                "the results of ${job.uploadId} cannot be read exactly once"
            }
            check(read.all { results[job.uploadId to it.item] == it }) { "a result of ${job.uploadId} has changed" }
        }
    }

    /** Requirement R1: finally, every item of an accepted job that was not cancelled has exactly one result. */
    fun checkAllEnded(reference: BatchIndex, nowMillis: Long) {
        for (job in reference.allJobs.filterNot { BatchIndex.isExpired(it, nowMillis) }) {
            check(job.phase != JobPhase.RUNNING) {
                "${job.uploadId} has ${job.resultCount} of ${job.itemCount} results"
            }
        }
    }
}
