package org.poplarshift.node.batch

import kotlinx.serialization.Serializable
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState

/**
 * The progress of a job as returned to callers.
 *
 * @property done items that succeeded
 * @property cancelled items of a cancelled job that have no result
 * @property readableUntilMillis when the results expire, in milliseconds since 1970, or null while the job runs
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
        /** Creates the status of [job]. */
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
