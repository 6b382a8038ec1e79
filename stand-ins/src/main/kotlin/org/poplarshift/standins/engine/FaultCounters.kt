package org.poplarshift.standins.engine

import java.util.Random

/** Decides for each request which faults hit it. Counts down the faults that apply to a number of requests. */
internal class FaultCounters(private val faults: EngineFaults) {
    private val random = Random(faults.seed)
    private var crossedResponsesLeft = faults.crossNextResponses
    private var failedRequestsLeft = faults.failNextRequests
    private var silentRequestsLeft = faults.silentNextRequests

    /** Whether the next response is crossed with another. */
    fun consumeCrossedResponse(): Boolean = (crossedResponsesLeft > 0).also { if (it) crossedResponsesLeft-- }

    /** Whether the next request fails. */
    fun consumeFailedRequest(): Boolean = (failedRequestsLeft > 0).also { if (it) failedRequestsLeft-- }

    /** Whether the next request is never answered. */
    fun consumeSilentRequest(): Boolean =
        faults.silentOnAccept || (silentRequestsLeft > 0).also { if (it) silentRequestsLeft-- }

    /** The time in milliseconds by which the next response is late. */
    fun nextDelayMillis(): Long {
        if (faults.responseDelayMillis <= 0) return 0
        return if (random.nextDouble() < faults.delayedShare) faults.responseDelayMillis else 0
    }
}
