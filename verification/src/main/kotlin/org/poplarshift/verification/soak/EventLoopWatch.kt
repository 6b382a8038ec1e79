package org.poplarshift.verification.soak

import kotlinx.coroutines.delay

/**
 * Records a late event loop of the soak as a disturbance of the store, which runs on the same event loop.
 *
 * On a busy machine the store is slow towards all nodes without an injected fault.
 */
class EventLoopWatch(private val disturbances: Disturbances, private val nowMillis: () -> Long) {
    /** Watches until cancelled. */
    suspend fun run() {
        while (true) {
            val beginMillis = nowMillis()
            delay(INTERVAL_MILLIS)
            val endMillis = nowMillis()
            if (endMillis - beginMillis > INTERVAL_MILLIS + MAXIMUM_LATENESS_MILLIS) {
                disturbances.begin(Disturbances.STORE, beginMillis)(endMillis)
            }
        }
    }

    private companion object {
        const val INTERVAL_MILLIS = 100L

        // Nodes take a log as unreachable that does not respond for about a second.
        const val MAXIMUM_LATENESS_MILLIS = 400L
    }
}
