package org.poplarshift.node.batch

import kotlinx.serialization.Serializable
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState

/**
 * How far a job is, as callers see it.
 *
 * @property done items that succeeded
 * @property cancelled items without a result of a cancelled job
 * @property readableUntilMillis until when results can be read, in milliseconds since 1970, or null while the job runs
 */
@Serializable
data class JobStatus(
    val id: String,
    val state: JobPhase,
    val items: Int,
    val done: Int,
    val failed: Int,
    val cancelled: Int,
    val acceptedAtMillis: Long,
    val readableUntilMillis: Long?,
) {
    companion object {
        /** The status of [job]. */
        fun of(job: JobState) = JobStatus(
            id = job.key.jobId,
            state = job.phase,
            items = job.itemCount,
            done = job.done,
            failed = job.failed,
            cancelled = if (job.phase == JobPhase.CANCELLED) job.itemCount - job.resultCount else 0,
            acceptedAtMillis = job.acceptedAtMillis,
            readableUntilMillis = job.readableUntilMillis(),
        )
    }
}
