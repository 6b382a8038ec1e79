package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * Strikes and cleared strikes, as sent to peers.
 *
 * @property cleared strikes of requests that have completed since, so that a peer must not count them
 */
@Serializable
data class QuarantineUpdate(
    val strikes: List<StrikeEntry> = emptyList(),
    val cleared: List<StrikeEntry> = emptyList(),
) {
    /** Whether there is nothing to tell. */
    val isEmpty: Boolean
        get() = strikes.isEmpty() && cleared.isEmpty()
}

/**
 * One strike.
 *
 * @property remainingMillis time until it expires; a duration, because the clocks of nodes are not synchronised
 */
@Serializable
data class StrikeEntry(val strike: Strike, val remainingMillis: Long)
