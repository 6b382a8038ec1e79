package org.poplarshift.standins.engine

import java.util.Random

/** Decides for each request which faults hit it. Counts down the faults that apply to a number of requests. */
internal class FaultCounters(private val faults: EngineFaults) {
    private val random = Random(faults.seed)
    private var crossedLeft = faults.crossNextResponses
    private var failedLeft = faults.failNextRequests
    private var silentLeft = faults.silentNextRequests

    /** Whether the next response is crossed with another. */
    fun takeCrossed(): Boolean = (crossedLeft > 0).also { if (it) crossedLeft-- }

    /** Whether the next request fails. */
    fun takeFailed(): Boolean = (failedLeft > 0).also { if (it) failedLeft-- }

    /** Whether the next request is never answered. */
    fun takeSilent(): Boolean = faults.silentOnAccept || (silentLeft > 0).also { if (it) silentLeft-- }

    /** The time in milliseconds by which the next response is late. */
    fun takeDelay(): Long {
        if (faults.responseDelayMillis <= 0) return 0
        return if (random.nextDouble() < faults.delayedShare) faults.responseDelayMillis else 0
    }
}
