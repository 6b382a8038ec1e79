package org.poplarshift.serving.log

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.poplarshift.serving.MonotonicClock

/**
 * Lets a node read the pages of its large topics one at a time.
 *
 * The log serves the reads of all nodes together. After a page the node pauses for several times as long as the page has
 * taken, so that the short reads of nodes that start at the same time don't queue behind many pages.
 */
class PageGate(private val clock: MonotonicClock) {
    private val mutex = Mutex()

    /** Runs [read] once no other page of this node is being read. */
    suspend fun <T> read(read: suspend () -> T): T = mutex.withLock {
        val sentMillis = clock.millis()
        read().also { delay(minOf((clock.millis() - sentMillis) * PAUSE_FACTOR, MAXIMUM_PAUSE_MILLIS)) }
    }

    private companion object {
        const val PAUSE_FACTOR = 3
        const val MAXIMUM_PAUSE_MILLIS = 2_000L
    }
}
