package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * Strikes and cleared strikes, as sent to peers.
 *
 * @property cleared strikes of requests that have completed since, so that a peer must not count them
 */
@Serializable
data class QuarantineNews(val strikes: List<StrikeNews> = emptyList(), val cleared: List<StrikeNews> = emptyList()) {
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
data class StrikeNews(val strike: Strike, val remainingMillis: Long)
