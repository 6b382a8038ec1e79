package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * Timeouts that detect broken and unresponsive connections to workers, in milliseconds.
 *
 * @property connectMillis the time to establish a connection
 * @property firstByteMillis the time from the request to the first byte of the response
 * @property idleMillis the time between two parts of a response
 */
@Serializable
data class UpstreamTimeouts(
    val connectMillis: Long = 1_000,
    val firstByteMillis: Long = 30_000,
    val idleMillis: Long = 10_000,
)
