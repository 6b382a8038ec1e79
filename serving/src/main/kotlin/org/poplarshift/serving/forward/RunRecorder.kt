package org.poplarshift.serving.forward

import org.poplarshift.core.dispatch.RunObservation
import org.poplarshift.serving.MonotonicClock

/**
 * Records the times of one run, from which the costs of requests are learned.
 *
 * @param sentMillis monotonic time in milliseconds at which the request was sent
 * @param tokensPerEvent tokens of the output that an event of the worker's streams usually contains
 * @param isResumed whether the run continues an earlier one; it says nothing about the length of whole runs then
 */
class RunRecorder(
    private val clock: MonotonicClock,
    private val sentMillis: Long,
    private val tokensPerEvent: Int,
    private val isResumed: Boolean,
) {
    private val headMillis = clock.millis()
    private var firstEventMillis: Long? = null
    private var completedMillis: Long? = null
    private var events = 0

    /** Records the events that have been received. */
    fun onEvents(received: List<StreamEvent>) {
        val count = received.count { !it.isEmpty }
        if (count == 0) return
        if (events == 0) firstEventMillis = clock.millis()
        events += count
    }

    /** Records that the response has been received. Without this call the run counts as incomplete. */
    fun onCompleted() {
        completedMillis = clock.millis()
    }

    /** Returns what has been observed so far. */
    fun observation(): RunObservation = RunObservation(
        firstEventMillis = (firstEventMillis ?: headMillis) - sentMillis,
        runMillis = (completedMillis ?: clock.millis()) - sentMillis,
        outputTokens = events * tokensPerEvent,
        isComplete = completedMillis != null && !isResumed,
    )
}
