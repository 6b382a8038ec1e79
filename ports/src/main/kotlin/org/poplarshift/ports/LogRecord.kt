package org.poplarshift.ports

import kotlinx.serialization.Serializable

/** A record of the log with its offset in the stream. */
@Serializable
data class LogRecord(val offset: Long, val record: String)
