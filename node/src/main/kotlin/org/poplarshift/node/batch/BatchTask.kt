package org.poplarshift.node.batch

import kotlinx.serialization.Serializable

/**
 * One run of an item at one worker. The holder of the job's slot sends it to the holder of the worker's slot.
 *
 * @property taskId unique in the fleet; also the request id at the worker
 * @property body the body of the request to the worker, as JSON
 */
@Serializable
data class BatchTask(
    val taskId: String,
    val organisation: String,
    val upstream: String,
    val worker: String,
    val path: String,
    val body: String,
    val idempotent: Boolean,
    val costTokens: Long,
    val fingerprint: String,
)
