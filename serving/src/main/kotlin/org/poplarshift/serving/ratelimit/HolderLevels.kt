package org.poplarshift.serving.ratelimit

import org.poplarshift.core.allowance.TokenBucketShare
import org.poplarshift.core.ingress.IngressOrganisation

/** A node that holds a share, and the most tokens that it can hold at the time in question. */
data class HolderLevel(val holder: TokenHolder, val tokens: Double)

/**
 * The most tokens of one organisation that the other holders can have.
 *
 * A holder has no more than it had after its last response and has refilled since then. A request is refused without a
 * message if all of them together can't have enough.
 */
class HolderLevels(private val source: TokenSource) {
    private class Level(val tokens: Double, val sinceMillis: Long)

    private val known = HashMap<String, Level>()

    /** Records that [node] held [tokens] at [nowMillis]. */
    fun onLevel(node: String, tokens: Double, nowMillis: Long) {
        known[node] = Level(tokens, nowMillis)
    }

    /** Returns the other holders, the fullest first. */
    fun of(organisation: IngressOrganisation, nowMillis: Long): List<HolderLevel> =
        source.holders(organisation).map { holder ->
            val capacity = TokenBucketShare.capacity(organisation.burst, holder.share)
            val refilled = known[holder.node]?.let { level ->
                val elapsedSeconds = (nowMillis - level.sinceMillis) / MILLIS_PER_SECOND
                level.tokens + elapsedSeconds * organisation.ratePerSecond * holder.share
            }
            HolderLevel(holder, minOf(capacity, refilled ?: capacity))
        }.sortedByDescending { it.tokens }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
