package org.poplarshift.node.log

import org.poplarshift.ports.LogRecord

/** Follows one stream of the platform's log from its retention start on, through outages. */
interface LogFollower {
    /** The offset up to which, exclusively, records have been applied. */
    val nextOffset: Long

    /** When the newest successful read began, in monotonic milliseconds, or null before the first. */
    val lastReadStartedMillis: Long?

    /** The oldest offset that the log kept at the newest successful read. */
    val retentionStart: Long

    /** Reads until cancelled and passes every record, in order, to [apply]. */
    suspend fun follow(apply: suspend (LogRecord) -> Unit)

    /** Suspends until the record at [offset] has been applied. */
    suspend fun awaitApplied(offset: Long)
}
