package org.poplarshift.node

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines on a thread of its own and never lets the caller wait.
 *
 * While the reader of the output stalls, lines below the level of warnings are dropped first and all lines once the queue is
 * full. What is dropped is counted.
 */
class CountingAsyncAppender : AsyncAppender() {
    override fun append(event: ILoggingEvent) {
        val freeCapacity = remainingCapacity
        if (freeCapacity == 0 || (freeCapacity < discardingThreshold && isDiscardable(event))) DROPPED.incrementAndGet()
        super.append(event)
    }

    companion object {
        private val DROPPED = AtomicLong()

        /** Lines of this process that were dropped since its start. */
        val dropped: Long
            get() = DROPPED.get()
    }
}
