package org.poplarshift.verification.soak

import kotlin.random.Random

/**
 * Draws releases of software versions of workers, and kills of all nodes at once, after which none of them remembers where
 * streams began.
 */
class ReleasePlan(private val random: Random) {
    /** Milliseconds until the next fault. */
    fun nextPauseMillis(): Long = random.nextLong(1, MAXIMUM_PAUSE_MILLIS)

    /** The next fault. */
    fun next(): SoakFault = if (random.nextInt(KILL_INTERVAL) == 0) {
        SoakFault.KillAll(random.nextLong(MAXIMUM_DOWN_MILLIS))
    } else {
        SoakFault.Release(random.nextInt(1, MAXIMUM_WORKERS), random.nextLong(MINIMUM_MILLIS, MAXIMUM_MILLIS))
    }

    private companion object {
        const val KILL_INTERVAL = 5
        const val MAXIMUM_PAUSE_MILLIS = 10_000L
        const val MAXIMUM_DOWN_MILLIS = 300L

        // Less than the five engines, so that workers of an older version go on serving.
        const val MAXIMUM_WORKERS = 4
        const val MINIMUM_MILLIS = 1_000L
        const val MAXIMUM_MILLIS = 8_000L
    }
}
