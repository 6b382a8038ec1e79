package org.poplarshift.wire

import kotlinx.serialization.Serializable

/** Asks the holder of workers' batch shares how many batch requests its workers may get (`POST /peer/batch/room`). */
@Serializable
data class BatchRoomQuery(val node: String, val upstream: String)

/** The answer to [BatchRoomQuery]: the sender's part of the room by worker. */
@Serializable
data class BatchRoomAnswer(val room: Map<String, Int>)
