package org.poplarshift.node.log

import org.poplarshift.ports.LogRecord

/** Reads one stream of the platform's log from its retention start on and resumes after outages. */
interface LogFollower {
    /** The offset of the next record to apply. */
    val nextOffset: Long

    /** Start of the latest successful read in monotonic milliseconds, or null before the first. */
    val lastReadStartedMillis: Long?

    /** The oldest offset that the log retained at the latest successful read. */
    val retentionStart: Long

    /** Reads until cancelled and passes every record, in order, to [apply]. */
    suspend fun follow(apply: suspend (LogRecord) -> Unit)

    /** Suspends until the record at [offset] has been applied. */
    suspend fun awaitApplied(offset: Long)
}
