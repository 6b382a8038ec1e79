package org.poplarshift.core.batch

import kotlinx.serialization.Serializable

/**
 * The state of a job as it is carried forward in the log.
 *
 * @property accepted the record that accepted the job, with the offsets of the carried items
 * @property ended the items with a result, or null when the whole job has ended
 * @property starts the non-idempotent items that were started, by the holder that started them
 */
@Serializable
data class JobSnapshot(
    val accepted: BatchRecord.JobAccepted,
    val segments: List<SegmentReference>,
    val done: Int,
    val failed: Int,
    val ended: ItemSet?,
    val starts: Map<String, ItemSet>,
    val cancelledAt: Long?,
    val endedAtMillis: Long?,
)
