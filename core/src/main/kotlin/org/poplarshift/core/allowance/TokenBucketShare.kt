package org.poplarshift.core.allowance

/**
 * One node's share of an organisation's token bucket.
 *
 * Each node refills at an equal share of the organisation's rate up to an equal share of its burst, so that all nodes
 * together stay within both. Tokens move between nodes as loans. Where the borrower has no room for them within its own
 * share, the room moves too: it lowers the lender's room, returns to it at the rate of its refill, and raises the
 * borrower's by what has not returned yet. Tokens for which the borrower has no room any more are dropped. The room of all
 * nodes together is therefore never more than the burst, also if a message is lost or late.
 *
 * A new process knows neither how many tokens its predecessor consumed nor how much room it lent. It therefore starts with
 * the tokens that are refilled during the shortest possible restart, and as if the rest of its room were on loan.
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
    /** A loan and the time from which it counts. */
    private class DatedLoan(val loan: TokenLoan, val sinceMillis: Long) {
        fun remaining(nowMillis: Long): Double = loan.remaining(nowMillis - sinceMillis)
    }

    /** Lent tokens for which the borrower has room, as long as they may be on their way. */
    private class Transit(val tokens: Double, val endMillis: Long)

    private var refilledMillis = nowMillis
    private var tokens = minOf(capacity(), ratePerSecond / nodes * MINIMUM_RESTART_SECONDS)

    // Room that this node has lent and that has not returned yet.
    private var lent = capacity() - tokens

    private val inTransit = ArrayList<Transit>()
    private val borrowed = ArrayList<DatedLoan>()

    /** Returns the available tokens after refilling up to [nowMillis]. */
    fun tokens(nowMillis: Long): Double {
        refill(nowMillis)
        return tokens
    }

    /**
     * Changes the limits. If the share of this node becomes smaller, tokens above it are dropped. If it becomes larger,
     * the added room is available at the rate of the refill, because other nodes may still use it.
     */
    fun update(ratePerSecond: Double, burst: Double, nodes: Int, nowMillis: Long) {
        refill(nowMillis)
        val isLower = ratePerSecond < this.ratePerSecond || burst < this.burst || nodes > this.nodes
        val previousCapacity = capacity()
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        this.nodes = nodes
        val growth = capacity() - previousCapacity
        lent = if (growth > 0) lent + growth else lent * capacity() / previousCapacity
        if (isLower) {
            borrowed.clear()
            tokens = minOf(tokens, ownRoom())
        }
    }

    /** Consumes one token and returns true, or returns false if less than one token is available. */
    fun tryConsume(nowMillis: Long): Boolean {
        refill(nowMillis)
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }

    /**
     * Lends up to [requested] tokens to a node that has room for [borrowerRoom] tokens of its own, or returns null if the
     * loan would be too small.
     *
     * A loan is at most half of the available tokens. A node with less than one token lends all, because it could not admit
     * a request with them.
     */
    fun lend(requested: Double, borrowerRoom: Double, nowMillis: Long): TokenLoan? {
        refill(nowMillis)
        val lendable = if (tokens < 1.0) tokens else tokens / 2
        val amount = minOf(requested, lendable, ownRoom())
        if (amount < MINIMUM_TRANSFER || ratePerSecond <= 0) return null
        val transit = borrowerRoom.coerceIn(0.0, amount)
        val loan = TokenLoan(amount, transit, millisToRefill(lent), millisToRefill(amount - transit))
        tokens -= amount
        lent += amount - transit
        if (transit > 0) inTransit += Transit(transit, nowMillis + TokenLoan.TRANSIT_MILLIS)
        return loan
    }

    /** Returns the number of further tokens for which this node has room. */
    fun freeRoom(nowMillis: Long): Double {
        refill(nowMillis)
        return room(nowMillis) - tokens
    }

    /** Adds the tokens of a [loan] that this node asked for at [requestedMillis]; they are fewer if it arrives late. */
    fun deposit(loan: TokenLoan, requestedMillis: Long, nowMillis: Long) {
        refill(nowMillis)
        tokens += loan.remaining(nowMillis - requestedMillis)
        borrowed += DatedLoan(loan, requestedMillis)
        if (borrowed.size > MAXIMUM_BORROWED) borrowed.removeFirst()
    }

    private fun capacity(): Double = capacity(burst, nodes)

    private fun ownRoom(): Double = maxOf(0.0, capacity() - lent - inTransit.sumOf { it.tokens })

    private fun room(nowMillis: Long): Double = ownRoom() + borrowed.sumOf { it.remaining(nowMillis) }

    private fun millisToRefill(amount: Double): Double = amount * nodes / ratePerSecond * MILLIS_PER_SECOND

    private fun refill(nowMillis: Long) {
        val elapsed = maxOf(0, nowMillis - refilledMillis)
        refilledMillis += elapsed
        val refilled = ratePerSecond / nodes * elapsed / MILLIS_PER_SECOND
        lent = maxOf(0.0, lent - refilled)
        inTransit.removeIf { it.endMillis < nowMillis }
        borrowed.removeIf { it.remaining(nowMillis) <= 0 }
        tokens = minOf(tokens + refilled, room(nowMillis))
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        // A killed process serves no requests for at least this long until its successor has started.
        private const val MINIMUM_RESTART_SECONDS = 0.5

        // At 91 nodes the share of a burst of 10 is 0.11 tokens. Smaller loans would not sum up to one token.
        private const val MINIMUM_TRANSFER = 0.005

        // A node that needs many loans spends their tokens at once, so it does not need the room of the older ones. A
        // node that collects fractions of a token has a few loans of each node of a fleet of 91.
        private const val MAXIMUM_BORROWED = 256

        /** Returns the most tokens that each of [nodes] holds. A burst below one token would never admit a request. */
        fun capacity(burst: Double, nodes: Int): Double = maxOf(1.0, burst) / nodes
    }
}
