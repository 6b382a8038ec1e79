package org.poplarshift.standins.engine

import java.util.Random

/** Selects the faults of each request and counts down the faults that apply to a limited number of requests. */
internal class FaultCounters(private val faults: EngineFaults) {
    private val random = Random(faults.seed)
    private var crossedResponsesLeft = faults.crossNextResponses
    private var failedRequestsLeft = faults.failNextRequests
    private var silentRequestsLeft = faults.silentNextRequests

    /** Whether the next response carries the identifier of another request. */
    fun consumeCrossedResponse(): Boolean = (crossedResponsesLeft > 0).also { if (it) crossedResponsesLeft-- }

    /** Whether the next request fails. */
    fun consumeFailedRequest(): Boolean = (failedRequestsLeft > 0).also { if (it) failedRequestsLeft-- }

    /** Whether the next request gets no response. */
    fun consumeSilentRequest(): Boolean =
        faults.silentOnAccept || (silentRequestsLeft > 0).also { if (it) silentRequestsLeft-- }

    /** The delay of the next response in milliseconds. */
    fun nextDelayMillis(): Long {
        if (faults.responseDelayMillis <= 0) return 0
        return if (random.nextDouble() < faults.delayedShare) faults.responseDelayMillis else 0
    }
}
