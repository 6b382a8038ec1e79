package org.poplarshift.core.batch

import kotlinx.serialization.Serializable

/**
 * The state of a job as it is appended to the log again before earlier records leave the log's retention.
 *
 * @property accepted the record that accepted the job, with the offsets of the copied items
 * @property ended the items with a result, or null when the whole job has ended
 * @property starts the started non-idempotent items, keyed by the holder that started them
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
