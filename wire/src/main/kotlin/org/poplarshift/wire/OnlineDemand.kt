package org.poplarshift.wire

import kotlinx.serialization.Serializable

/**
 * A node's online requests at workers, sent to the holder of the workers' batch share (`POST /peer/demand`).
 *
 * @property node the incarnation of the sender
 * @property running online requests by worker
 */
@Serializable
data class OnlineDemand(val node: String, val running: Map<String, Int>)

/**
 * The answer to [OnlineDemand].
 *
 * @property batch the batch requests that the holder runs, by worker
 */
@Serializable
data class OnlineDemandResponse(val batch: Map<String, Int>)
