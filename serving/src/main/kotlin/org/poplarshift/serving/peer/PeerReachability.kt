package org.poplarshift.serving.peer

import org.poplarshift.serving.MonotonicClock

/** Remembers for a short time which other nodes could not be reached. */
class PeerReachability(private val clock: MonotonicClock) {
    private val suspectUntilMillis = HashMap<String, Long>()

    /** Records that [node] could not be reached. */
    fun onFailure(node: String) {
        suspectUntilMillis[node] = clock.millis() + SUSPICION_MILLIS
    }

    /** Whether [node] could not be reached a short time ago. */
    fun isSuspect(node: String): Boolean = clock.millis() < (suspectUntilMillis[node] ?: Long.MIN_VALUE)

    private companion object {
        // A killed process is back after a few seconds. Each trial costs one connection attempt.
        const val SUSPICION_MILLIS = 1_000L
    }
}
