package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * Limits of a request: sizes in bytes, times in milliseconds.
 *
 * @property requestLineBytes method, path and query
 * @property headerBytes all header fields together
 * @property bodyBytes the body of an online request
 * @property batchBodyBytes the body of an uploaded batch job
 * @property itemBytes one line of an uploaded batch job
 * @property callerIdleMillis how long a caller may neither send a part of its body nor read a part of its response; a
 * stalled connection would otherwise occupy a worker and delay a shutdown
 */
@Serializable
data class LimitSettings(
    val requestLineBytes: Int = 4_096,
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 1_048_576,
    val batchBodyBytes: Int = 134_217_728,
    val itemBytes: Int = 262_144,
    val callerIdleMillis: Long = 30_000,
)
