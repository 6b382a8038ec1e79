package org.poplarshift.wire

import kotlinx.serialization.Serializable

/**
 * Envelope of every record in the log.
 *
 * @property producer the incarnation of the node or operator command that appended it
 * @property sequence sequence number of the record at its producer; a reader ignores a pair of producer and sequence
 * that it has applied, so that a repeated append has no second effect
 * @property version version of the record format
 */
@Serializable
data class LogEnvelope<T>(val producer: String, val sequence: Long, val record: T, val version: Int = 1)
