package org.poplarshift.core.batch

import org.poplarshift.core.batch.BatchRecord.ItemsStarted
import org.poplarshift.core.batch.BatchRecord.ItemsUploaded
import org.poplarshift.core.batch.BatchRecord.JobAccepted
import org.poplarshift.core.batch.BatchRecord.JobCancelled
import org.poplarshift.core.batch.BatchRecord.JobCarried
import org.poplarshift.core.batch.BatchRecord.ResultsRecorded
import org.poplarshift.core.batch.BatchResult.Ignored

/**
 * Applies the records of the stream `batch` in offset order. Every node applies the same records and reaches the same
 * jobs and results. Decisions depend only on records, never on the clock of the reader.
 *
 * Applying a repeated record has no effect, so that an append with an unknown outcome can be retried.
 *
 * @param firstOffset the first offset that this reader has read; earlier records are outside the log's retention
 */
class BatchIndex(private val firstOffset: Long = 0) {
    private val jobs = HashMap<JobKey, JobState>()
    private val jobsByUpload = HashMap<String, JobState>()

    // A reader that starts late reads records of jobs whose acceptance it has not read. The last offset of such a job
    // determines whether a snapshot of the job is complete.
    private val unknownUploads = HashMap<String, Long>()

    // The last acceptance of each identifier whose winning upload this reader cannot determine without a snapshot.
    private val undecidedAcceptances = HashMap<JobKey, Long>()

    /** The offset of the next record to apply. */
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

    /** Skips a record that cannot be read or was already applied. */
    fun skip(offset: Long) {
        nextOffset = maxOf(nextOffset, offset + 1)
    }

    /**
     * Removes the jobs whose results are no longer readable at the wall clock time [nowMillis], and the state that was
     * kept for records before the offset [retentionStart]. A margin allows for clock skew, so that no node removes a
     * job that another node still finds when it applies the same [JobAccepted].
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
        // A late reader that did not read the winning acceptance can have accepted a resent upload as the job. The
        // writer of the snapshot has read both acceptances.
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

        /** Whether [job] has expired for every writer whose clock is within the margin of [nowMillis]. */
        fun isRemovable(job: JobState, nowMillis: Long): Boolean = isExpired(job, nowMillis - CLOCK_MARGIN_MILLIS)
    }
}
