package org.poplarshift.node

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines on a separate thread, never blocks the caller, and counts dropped lines.
 *
 * While the reader of the output stalls, lines below the level WARN are dropped first, and all lines once the queue is
 * full.
 */
class CountingAsyncAppender : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        val freeCapacity = remainingCapacity
        if (freeCapacity == 0 || (freeCapacity < discardingThreshold && isDiscardable(event))) DROPPED.incrementAndGet()
        super.append(event)
    }

    companion object {
        private val DROPPED = AtomicLong()

        /** Number of lines dropped since the process started. */
        val dropped: Long
            get() = DROPPED.get()
    }
}
