package org.poplarshift.core.allowance

/**
 * One node's share of an organisation's tokens.
 *
 * All nodes together refill at the organisation's rate and hold at most its burst, because each refills and fills up to
 * an equal share. Tokens that move between nodes are taken from the giver before the receiver gets them, so that a lost
 * message can only lower the total. A new process starts with what the shortest restart of a process would have refilled,
 * because it can't know what its predecessor has spent.
 *
 * @param ratePerSecond tokens per second of all nodes together
 * @param burst tokens that all nodes together may hold
 * @param nodes nodes that share the limit
 */
class TokenBucketShare(
    private var ratePerSecond: Double,
    private var burst: Double,
    private var nodes: Int,
    nowMillis: Long,
) {
    private var refilledMillis = nowMillis
    private var tokens = minOf(burst / nodes, ratePerSecond / nodes * MINIMUM_RESTART_SECONDS)

    /** Tokens at hand after the refill up to [nowMillis]. */
    fun tokens(nowMillis: Long): Double {
        refill(nowMillis)
        return tokens
    }

    /** Changes the limits; tokens above the new burst of all nodes are dropped. */
    fun update(ratePerSecond: Double, burst: Double, nodes: Int, nowMillis: Long) {
        refill(nowMillis)
        val isLower = ratePerSecond < this.ratePerSecond || burst < this.burst
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        this.nodes = nodes
        if (isLower) tokens = minOf(tokens, capacity())
    }

    /** Spends one token; false when there is none. */
    fun tryConsume(nowMillis: Long): Boolean {
        refill(nowMillis)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /** Takes out what may go to another node that asks for [requested]: at most half of what is here. */
    fun withdraw(requested: Double, nowMillis: Long): Double {
        refill(nowMillis)
        val withdrawn = minOf(requested, tokens / 2)
        if (withdrawn < MINIMUM_TRANSFER) return 0.0
        tokens -= withdrawn
        return withdrawn
    }

    /** Adds tokens that another node has taken out. */
    fun deposit(amount: Double, nowMillis: Long) {
        refill(nowMillis)
        tokens += amount
    }

    /** Milliseconds until a token is here without help. */
    fun millisUntilToken(nowMillis: Long): Long {
        refill(nowMillis)
        if (tokens >= 1.0) return 0
        if (ratePerSecond <= 0) return Long.MAX_VALUE
        return ((1.0 - tokens) * nodes / ratePerSecond * MILLIS_PER_SECOND).toLong() + 1
    }

    // A share below one token could never pay for a request.
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

        // A process that is killed serves nobody for at least this long.
        const val MINIMUM_RESTART_SECONDS = 0.5

        // Smaller gifts cost more messages than they save refusals.
        const val MINIMUM_TRANSFER = 0.25
    }
}
