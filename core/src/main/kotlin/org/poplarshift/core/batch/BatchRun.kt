package org.poplarshift.core.batch

/**
 * One attempt to run an item.
 *
 * @property runId unique at the holder; the scheduler discards the result of a run that it has abandoned
 * @property attempt the number of the attempt, from 1
 */
data class BatchRun(
    val runId: Long,
    val uploadId: String,
    val organisation: String,
    val upstream: String,
    val item: Int,
    val attempt: Int,
    val idempotent: Boolean,
)
