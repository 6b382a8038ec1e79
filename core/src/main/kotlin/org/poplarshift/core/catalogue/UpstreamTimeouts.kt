package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * Deadlines that find dead and silent connections to workers, in milliseconds.
 *
 * @property firstByteMillis from the request until the first byte of the answer
 * @property idleMillis between two parts of an answer
 */
@Serializable
data class UpstreamTimeouts(
    val connectMillis: Long = 1_000,
    val firstByteMillis: Long = 30_000,
    val idleMillis: Long = 10_000,
)
