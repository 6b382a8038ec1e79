package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * New and cleared strikes that a node sends to its peers.
 *
 * @property cleared strikes that no longer count because the request has completed since
 */
@Serializable
data class QuarantineUpdate(
    val strikes: List<StrikeEntry> = emptyList(),
    val cleared: List<StrikeEntry> = emptyList(),
) {
    /** Whether the update contains no entries. */
    val isEmpty: Boolean
        get() = strikes.isEmpty() && cleared.isEmpty()
}

/**
 * A strike with its remaining lifetime.
 *
 * @property remainingMillis the time until the strike expires, in milliseconds; a duration, because the clocks of nodes
 *   are not synchronised
 */
@Serializable
data class StrikeEntry(val strike: Strike, val remainingMillis: Long)
