package org.poplarshift.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Request of `POST /peer/batch/room`: asks the holder of batch shares for the batch capacity of its workers. */
@Serializable
data class BatchCapacityRequest(val node: String, val upstream: String)

/**
 * Response of `POST /peer/batch/room`.
 *
 * @property capacity number of batch requests that the requesting node may run, by worker
 */
@Serializable
data class BatchCapacityResponse(@SerialName("room") val capacity: Map<String, Int>)
