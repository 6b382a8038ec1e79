package org.poplarshift.verification.soak

import kotlin.random.Random

/**
 * Draws the faults of links and the pauses between them. They have a random sequence of their own, so that the other
 * faults of a seed remain those for which the seed was kept.
 */
class LinkPlan(private val random: Random, private val nodes: Int) {
    /** Milliseconds until the next fault. */
    fun nextPauseMillis(): Long = random.nextLong(1, MAXIMUM_PAUSE_MILLIS)

    /** The next fault. */
    fun next() = SoakFault.Link(random.nextInt(nodes), faults(), random.nextLong(MINIMUM_MILLIS, MAXIMUM_MILLIS))

    private fun faults(): LinkFaults = when (random.nextInt(KINDS)) {
        0 -> LinkFaults(delayMillis = random.nextLong(MAXIMUM_DELAY_MILLIS))
        1 -> LinkFaults(isReset = true)
        2 -> LinkFaults(isCutToStore = true)
        3 -> LinkFaults(isCutFromStore = true)
        else -> LinkFaults(isCutToStore = true, isCutFromStore = true)
    }

    private companion object {
        const val KINDS = 5

        // Leaves each of five nodes undisturbed by its link for most of the time.
        const val MAXIMUM_PAUSE_MILLIS = 8_000L
        const val MINIMUM_MILLIS = 200L
        const val MAXIMUM_MILLIS = 5_000L
        const val MAXIMUM_DELAY_MILLIS = 1_200L
    }
}
