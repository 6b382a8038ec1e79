package org.poplarshift.core.batch

import org.poplarshift.core.batch.BatchRecord.JobCarried

/** Restores the state of a job from its snapshot. */
internal object SnapshotReader {
    fun read(record: JobCarried, offset: Long): JobState {
        val snapshot = record.job
        val job = JobState(snapshot.accepted, anchorOffset = record.through + 1, anchorMillis = record.atMillis)
        snapshot.segments.forEach(job.segments::add)
        job.done = snapshot.done
        job.failed = snapshot.failed
        job.ended = snapshot.ended?.copy()
        job.starts = snapshot.starts
            .mapValuesTo(HashMap()) { it.value.copy() }
            .takeIf { it.isNotEmpty() }
        job.cancelledAt = snapshot.cancelledAt
        job.endedAtMillis = snapshot.endedAtMillis
        job.lastOffset = offset
        return job
    }
}
