package org.poplarshift.wire

import kotlinx.serialization.Serializable

/**
 * Wraps every record of the log.
 *
 * @property producer the incarnation of the node or operator command that appended it
 * @property sequence the record's number at its producer; a reader drops a pair of producer and sequence that it has
 * applied, so that a repeated append has no second effect
 * @property version the version of the record's form
 */
@Serializable
data class LogEnvelope<T>(val producer: String, val sequence: Long, val record: T, val version: Int = 1)
