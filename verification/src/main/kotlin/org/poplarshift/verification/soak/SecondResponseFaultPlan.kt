package org.poplarshift.verification.soak

import kotlin.random.Random

/** Draws the faults that meet second responses: pauses of nodes, and workers that restart or lose their address. */
class SecondResponseFaultPlan(private val random: Random) {
    /** Milliseconds until the next fault. */
    fun nextPauseMillis(): Long = random.nextLong(1, MAXIMUM_PAUSE_MILLIS)

    /** The next fault. */
    fun next(): SoakFault = when (random.nextInt(KINDS)) {
        0 -> SoakFault.WorkerRestart(random.nextLong(MAXIMUM_DOWN_MILLIS))
        1 -> SoakFault.AddressTaken
        else -> SoakFault.Pause(random.nextLong(SHORTEST_STOP_MILLIS, LONGEST_STOP_MILLIS))
    }

    private companion object {
        const val KINDS = 6
        const val MAXIMUM_PAUSE_MILLIS = 1_500L
        const val MAXIMUM_DOWN_MILLIS = 300L

        // Long enough for a response and a second one to wait in the sockets, too short for the other nodes to react.
        const val SHORTEST_STOP_MILLIS = 20L
        const val LONGEST_STOP_MILLIS = 400L
    }
}
