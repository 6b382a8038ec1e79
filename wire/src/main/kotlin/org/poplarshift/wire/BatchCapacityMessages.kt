package org.poplarshift.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks the holder of workers' batch shares how many batch requests its workers may get (`POST /peer/batch/room`). */
@Serializable
data class BatchCapacityRequest(val node: String, val upstream: String)

/** The answer to [BatchCapacityRequest]: the sender's part of the room by worker. */
@Serializable
data class BatchCapacityResponse(@SerialName("room") val capacity: Map<String, Int>)
