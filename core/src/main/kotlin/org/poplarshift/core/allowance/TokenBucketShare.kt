package org.poplarshift.core.allowance

/**
 * One node's share of an organisation's token bucket.
 *
 * Each node refills at an equal share of the organisation's rate up to an equal share of its burst, so that all nodes
 * together stay within both. Tokens that move between nodes are withdrawn from the sender before they are deposited at
 * the receiver, so that a lost message can only lower the total. A new process cannot know how many tokens its
 * predecessor consumed. It therefore starts with the tokens that are refilled during the shortest possible restart.
 *
 * @param ratePerSecond tokens per second of all nodes together
 * @param burst maximum number of tokens that all nodes together hold
 * @param nodes number of nodes that share the limit
 */
class TokenBucketShare(
    private var ratePerSecond: Double,
    private var burst: Double,
    private var nodes: Int,
    nowMillis: Long,
) {
    private var refilledMillis = nowMillis
    private var tokens = minOf(burst / nodes, ratePerSecond / nodes * MINIMUM_RESTART_SECONDS)

    /** Returns the available tokens after refilling up to [nowMillis]. */
    fun tokens(nowMillis: Long): Double {
        refill(nowMillis)
        return tokens
    }

    /** Changes the limits. If the share of this node becomes smaller, tokens above it are dropped. */
    fun update(ratePerSecond: Double, burst: Double, nodes: Int, nowMillis: Long) {
        refill(nowMillis)
        val isLower = ratePerSecond < this.ratePerSecond || burst < this.burst || nodes > this.nodes
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        this.nodes = nodes
        if (isLower) tokens = minOf(tokens, capacity())
    }

    /** Consumes one token and returns true, or returns false if less than one token is available. */
    fun tryConsume(nowMillis: Long): Boolean {
        refill(nowMillis)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /**
     * Withdraws tokens for another node and returns their number.
     *
     * The number is at most [requested] and at most half of the available tokens. It is 0 if the transfer would be too
     * small.
     */
    fun withdraw(requested: Double, nowMillis: Long): Double {
        refill(nowMillis)
        val withdrawn = minOf(requested, tokens / 2)
        if (withdrawn < MINIMUM_TRANSFER) return 0.0
        tokens -= withdrawn
        return withdrawn
    }

    /** Adds [amount] tokens that another node has withdrawn. */
    fun deposit(amount: Double, nowMillis: Long) {
        refill(nowMillis)
        tokens += amount
    }

    /** Returns the milliseconds until one token is available without a transfer from another node. */
    fun millisUntilToken(nowMillis: Long): Long {
        refill(nowMillis)
        if (tokens >= 1.0) return 0
        if (ratePerSecond <= 0) return Long.MAX_VALUE
        return ((1.0 - tokens) * nodes / ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
    }

    // A share of less than one token would never admit a request.
    private fun capacity(): Double = maxOf(1.0, burst / nodes)

    private fun refill(nowMillis: Long) {
        val elapsed = nowMillis - refilledMillis
        if (elapsed <= 0) return
        refilledMillis = nowMillis
        val filled = minOf(capacity(), tokens + ratePerSecond / nodes * elapsed / MILLIS_PER_SECOND)
        tokens = maxOf(tokens, filled)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        // A killed process serves no requests for at least this long until its successor has started.
        const val MINIMUM_RESTART_SECONDS = 0.5

        // Smaller transfers cost more messages than the refusals that they avoid are worth.
        const val MINIMUM_TRANSFER = 0.25
    }
}
