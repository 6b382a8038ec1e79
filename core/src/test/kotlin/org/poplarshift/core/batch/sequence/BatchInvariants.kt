package org.poplarshift.core.batch.sequence

import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState

/** What must hold after every step; a violation throws [IllegalStateException]. */
class BatchInvariants(private val rules: SimulationRules) {
    private val acknowledged = HashMap<JobKey, String>()
    private val results = HashMap<Pair<String, Int>, ItemResult>()
    private val dispatches = HashMap<Pair<String, Int>, Int>()

    /** Requirement R1: an acknowledged job stays the job of its identifier. */
    fun acknowledged(key: JobKey, uploadId: String) {
        acknowledged[key] = uploadId
    }

    /** The results of a job are readable for a limited time, after which its identifier is free. */
    fun expire(reference: BatchIndex, nowMillis: Long) {
        acknowledged.keys.removeIf { key -> reference.find(key)?.let { BatchIndex.isExpired(it, nowMillis) } ?: false }
    }

    /** Requirements R2 and R10, as far as the sending node can know. */
    fun dispatched(run: BatchRun, job: JobState?) {
        check(job?.phase != JobPhase.CANCELLED) { "an item of ${run.uploadId} was sent after the cancel was applied" }
        val count = dispatches.merge(run.uploadId to run.item, 1, Int::plus) ?: 0
        check(run.idempotent || count <= 1) { "non-idempotent item ${run.item} of ${run.uploadId} was sent twice" }
    }

    /** Applies a record to the reader that never missed one. */
    fun observe(offset: Long, record: BatchRecord, reference: BatchIndex) {
        val applied = reference.apply(offset, record)
        if (applied is BatchResult.Started) {
            check(applied.job.phase == JobPhase.RUNNING) { "an item started at $offset, after the cancel" }
        }
        val valid = if (!rules.firstResultWins && record is BatchRecord.ResultsRecorded && !record.carried) {
            record.results
        } else {
            (applied as? BatchResult.Recorded)?.results.orEmpty()
        }
        val uploadId = (record as? BatchRecord.ResultsRecorded)?.uploadId ?: return
        for (result in valid) {
            val earlier = results.putIfAbsent(uploadId to result.item, result)
            check(earlier == null || earlier == result) { "item ${result.item} of $uploadId has two results" }
        }
    }

    /** Readers of the same records agree, wherever they began, and know every acknowledged job. */
    fun checkView(index: BatchIndex, reference: BatchIndex, nowMillis: Long) {
        for (expected in reference.allJobs.filterNot { BatchIndex.isExpired(it, nowMillis) }) {
            val found = index.findUpload(expected.uploadId)
            checkNotNull(found) { "a reader does not know ${expected.uploadId}" }
            check(BatchSimulation.view(found) == BatchSimulation.view(expected)) {
                "readers differ about ${expected.uploadId}"
            }
        }
        for ((key, uploadId) in acknowledged) {
            check(reference.find(key)?.uploadId == uploadId) { "the acknowledged job $uploadId is lost" }
        }
    }

    /** Requirement R1: what is needed stays in retention, and every result can be read where the index says. */
    fun checkReadable(reference: BatchIndex, log: SimulatedLog<BatchRecord>, nowMillis: Long) {
        for (job in reference.allJobs.filterNot { BatchIndex.isExpired(it, nowMillis) }) {
            (0 until job.chunkCount).filter(job::hasOpenItems).forEach { log.read(job.chunk(it).offset) }
            val read = (0 until job.segmentCount).flatMap { position ->
                val segment = job.segment(position)
                val record = log.read(segment.offset) as BatchRecord.ResultsRecorded
                record.results.filterIndexed { at, _ -> at !in segment.dropped }
            }
            check(read.size == job.resultCount && read.map { it.item }.toSet().size == read.size) {
                "the results of ${job.uploadId} can't be read exactly once"
            }
            check(read.all { results[job.uploadId to it.item] == it }) { "a result of ${job.uploadId} has changed" }
        }
    }

    /** Requirement R1: in the end every item of an accepted job that was not cancelled has exactly one result. */
    fun checkAllEnded(reference: BatchIndex, nowMillis: Long) {
        for (job in reference.allJobs.filterNot { BatchIndex.isExpired(it, nowMillis) }) {
            check(job.phase != JobPhase.RUNNING) {
                "${job.uploadId} has ${job.resultCount} of ${job.itemCount} results"
            }
        }
    }
}
