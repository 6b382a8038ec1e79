package org.poplarshift.core.batch

import org.poplarshift.core.batch.BatchRecord.ItemsStarted
import org.poplarshift.core.batch.BatchRecord.ItemsUploaded
import org.poplarshift.core.batch.BatchRecord.JobAccepted
import org.poplarshift.core.batch.BatchRecord.JobCancelled
import org.poplarshift.core.batch.BatchRecord.JobCarried
import org.poplarshift.core.batch.BatchRecord.ResultsRecorded
import org.poplarshift.core.batch.BatchResult.Ignored

/**
 * Applies the records of the stream `batch` in the order of their offsets. Every node runs it on the same records and
 * comes to the same jobs and results. Decisions use only records, never the clock of the reader.
 *
 * Repeated records change nothing, so that an append whose outcome is unknown can be sent again.
 *
 * @param firstOffset the first offset that this reader has seen; what precedes it has left the log's retention
 */
class BatchIndex(private val firstOffset: Long = 0) {
    private val jobs = HashMap<JobKey, JobState>()
    private val jobsByUpload = HashMap<String, JobState>()

    // A reader that starts late sees records of jobs whose acceptance it has not read. Their last offsets decide
    // whether a snapshot of such a job is complete.
    private val unknownUploads = HashMap<String, Long>()

    // The last acceptance of an identifier about which this reader can't decide; only a snapshot can.
    private val undecidedAcceptances = HashMap<JobKey, Long>()

    /** The offset up to which, exclusively, records were applied. */
    var nextOffset: Long = firstOffset
        private set

    /** All jobs, in no particular order. */
    val allJobs: Collection<JobState>
        get() = jobs.values

    fun find(key: JobKey): JobState? = jobs[key]

    fun findUpload(uploadId: String): JobState? = jobsByUpload[uploadId]

    /** Applies the record at [offset]. */
    fun apply(offset: Long, record: BatchRecord): BatchResult {
        if (offset < nextOffset) return Ignored(IgnoredReason.ALREADY_APPLIED)
        nextOffset = offset + 1
        return when (record) {
            is ItemsUploaded -> Ignored(IgnoredReason.BODIES_ONLY)
            is JobAccepted -> accept(offset, record)
            is ItemsStarted -> updateJob(offset, record.uploadId) { start(it, record) }
            is ResultsRecorded -> recordResults(offset, record)
            is JobCancelled -> updateJob(offset, record.uploadId) { cancel(it, offset, record) }
            is JobCarried -> applySnapshot(offset, record)
        }
    }

    /** Passes over a record that can't be read or was applied before. */
    fun skip(offset: Long) {
        nextOffset = maxOf(nextOffset, offset + 1)
    }

    /**
     * Drops jobs whose results are no longer readable at the wall clock [nowMillis], and what is known of records
     * before [retentionStart]. The margin covers clocks that differ, so that no node drops a job that another node
     * would still find when it applies the same [JobAccepted].
     */
    fun removeExpired(nowMillis: Long, retentionStart: Long) {
        unknownUploads.values.removeIf { it < retentionStart }
        undecidedAcceptances.values.removeIf { it < retentionStart }
        val expired = jobs.values.filter { isRemovable(it, nowMillis) }
        expired.forEach(::remove)
    }

    private fun remove(job: JobState) {
        jobs.remove(job.key)
        jobsByUpload.remove(job.uploadId)
    }

    private fun addJob(job: JobState) {
        jobs[job.key] = job
        jobsByUpload[job.uploadId] = job
    }

    private fun accept(offset: Long, record: JobAccepted): BatchResult {
        val key = JobKey(record.organisation, record.jobId)
        val earlier = jobs[key]
        if (earlier != null && !isExpired(earlier, record.acceptedAtMillis)) {
            earlier.lastOffset = offset
            val isSame = earlier.digest == record.digest
            return if (isSame) BatchResult.SameJob(earlier) else BatchResult.Conflict(earlier)
        }
        if (record.through + 1 < firstOffset || record.through < (undecidedAcceptances[key] ?: -1)) {
            undecidedAcceptances[key] = offset
            unknownUploads[record.uploadId] = offset
            return Ignored(IgnoredReason.UNDECIDED)
        }
        earlier?.let(::remove)
        val job = JobState(record, anchorOffset = offset, anchorMillis = record.acceptedAtMillis)
        addJob(job)
        return BatchResult.Accepted(job)
    }

    private fun updateJob(offset: Long, uploadId: String, change: (JobState) -> BatchResult): BatchResult {
        val job = jobsByUpload[uploadId]
        if (job == null) {
            unknownUploads[uploadId] = offset
            return Ignored(IgnoredReason.UNKNOWN_JOB)
        }
        job.lastOffset = offset
        if (job.cancelledAt != null) return Ignored(IgnoredReason.CANCELLED)
        return change(job)
    }

    private fun start(job: JobState, record: ItemsStarted): BatchResult {
        val items = record.items.filter {
            it in 0 until job.itemCount && !job.hasEnded(it) && job.starterOf(it) == null
        }
        if (items.isEmpty()) return Ignored(IgnoredReason.REPEATED)
        val starts = job.starts ?: HashMap<String, ItemSet>().also { job.starts = it }
        val started = starts.getOrPut(record.holder) { ItemSet() }
        return BatchResult.Started(job, items.filter(started::add))
    }

    private fun recordResults(offset: Long, record: ResultsRecorded): BatchResult {
        if (record.carried) return Ignored(IgnoredReason.BODIES_ONLY)
        return updateJob(offset, record.uploadId) { ResultApplier.apply(it, offset, record) }
    }

    private fun cancel(job: JobState, offset: Long, record: JobCancelled): BatchResult {
        if (job.phase != JobPhase.RUNNING) return Ignored(IgnoredReason.REPEATED)
        job.cancelledAt = offset
        job.end(record.atMillis)
        return BatchResult.Cancelled(job)
    }

    private fun applySnapshot(offset: Long, record: JobCarried): BatchResult {
        val accepted = record.job.accepted
        val known = jobs[JobKey(accepted.organisation, accepted.jobId)]
        val isKnown = known?.uploadId == accepted.uploadId
        // A late reader can have taken a resent upload for the job, because it did not read the acceptance that won.
        // The writer of the snapshot has read both.
        val isReplacing = known == null || isKnown || known.anchorOffset <= record.through
        val lastOffset = (if (isKnown) known?.lastOffset else unknownUploads[accepted.uploadId]) ?: -1
        val isComplete = isKnown || record.through + 1 >= firstOffset
        if (!isReplacing || !isComplete || lastOffset > record.through) {
            return Ignored(IgnoredReason.OUTDATED_SNAPSHOT)
        }
        if (!isKnown) known?.let(::remove)
        unknownUploads.remove(accepted.uploadId)
        val job = SnapshotReader.read(record, offset)
        addJob(job)
        return BatchResult.Carried(job)
    }

    companion object {
        private const val CLOCK_MARGIN_MILLIS = 3_600_000L

        /** Whether the results of [job] are no longer readable at [atMillis]. */
        fun isExpired(job: JobState, atMillis: Long): Boolean =
            job.readableUntilMillis()?.let { it < atMillis } ?: false

        /** Whether no record whose writer's clock is within the margin of [nowMillis] can find [job] readable. */
        fun isRemovable(job: JobState, nowMillis: Long): Boolean = isExpired(job, nowMillis - CLOCK_MARGIN_MILLIS)
    }
}
