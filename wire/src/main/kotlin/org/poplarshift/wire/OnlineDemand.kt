package org.poplarshift.wire

import kotlinx.serialization.Serializable

/**
 * Request of `POST /peer/demand`: reports a node's online requests to the holder of the workers' batch share.
 *
 * @property node the incarnation of the sender
 * @property running number of online requests by worker
 */
@Serializable
data class OnlineDemand(val node: String, val running: Map<String, Int>)

/**
 * Response of `POST /peer/demand`.
 *
 * @property batch number of batch requests that the holder runs, by worker
 */
@Serializable
data class OnlineDemandResponse(val batch: Map<String, Int>)
