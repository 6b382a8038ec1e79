package org.poplarshift.core.allowance

/**
 * One node's share of an organisation's token bucket.
 *
 * Each node refills at its share of the organisation's rate up to its share of the burst, so that all nodes together
 * stay within both if their shares sum to at most 1. Tokens move between nodes as loans. Where the borrower has no room for them within its own
 * share, the room moves too: it lowers the lender's room, returns to it at the rate of its refill, and raises the
 * borrower's by what has not returned yet. Tokens for which the borrower has no room any more are dropped. The room of all
 * nodes together is therefore never more than the burst, also if a message is lost or late.
 *
 * A new process knows neither how many tokens its predecessor consumed nor how much room it lent. It therefore starts with
 * the tokens that are refilled during the shortest possible restart, and as if the rest of its room were on loan.
 *
 * @param ratePerSecond tokens per second of all nodes together
 * @param burst maximum number of tokens that all nodes together hold
 * @param share the part of the limit that this node uses, from 0 to 1
 */
class TokenBucketShare(
    private var ratePerSecond: Double,
    private var burst: Double,
    private var share: Double,
    nowMillis: Long,
) {
    /** A loan and the time from which it counts. */
    private class DatedLoan(val loan: TokenLoan, val sinceMillis: Long) {
        fun remaining(nowMillis: Long): Double = loan.remaining(nowMillis - sinceMillis)
    }

    /** Lent tokens for which the borrower has room, as long as they may be on their way. */
    private class Transit(val tokens: Double, val endMillis: Long)

    private var refilledMillis = nowMillis
    private var tokens = minOf(capacity(), ratePerSecond * share * MINIMUM_RESTART_SECONDS)

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
    fun update(ratePerSecond: Double, burst: Double, share: Double, nowMillis: Long) {
        refill(nowMillis)
        val isLower = ratePerSecond < this.ratePerSecond || burst < this.burst || share < this.share
        val previousCapacity = capacity()
        this.ratePerSecond = ratePerSecond
        this.burst = burst
        this.share = share
        val growth = capacity() - previousCapacity
        lent = when {
            growth > 0 -> lent + growth
            growth < 0 -> lent * capacity() / previousCapacity
            else -> lent
        }
        if (isLower) {
            borrowed.clear()
            tokens = minOf(tokens, ownRoom())
        }
    }

    /** Consumes one token and returns true, or returns false if less than one token is available. */
    fun tryConsume(nowMillis: Long): Boolean {
        refill(nowMillis)
        if (tokens < 1.0 - ROUNDING) return false
        tokens = maxOf(0.0, tokens - 1.0)
        return true
    }

    /** Returns a token that was consumed for a request which has not run. It is dropped if there is no room for it. */
    fun giveBack(nowMillis: Long) {
        refill(nowMillis)
        tokens = minOf(tokens + 1.0, room(nowMillis))
    }

    /**
     * Lends tokens for [demand], or returns null if the loan would be too small.
     *
     * Both nodes hold equally many afterwards, or the borrower holds more if requests wait there.
     */
    fun lend(demand: TokenDemand, nowMillis: Long): TokenLoan? {
        refill(nowMillis)
        val lendable = maxOf(minOf(tokens, demand.needed), (tokens - demand.held) / 2)
        val amount = minOf(demand.wanted, lendable, ownRoom())
        if (amount < MINIMUM_TRANSFER || ratePerSecond <= 0 || share <= 0) return null
        val transit = demand.room.coerceIn(0.0, amount)
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

    private fun capacity(): Double = capacity(burst, share)

    private fun ownRoom(): Double = maxOf(0.0, capacity() - lent - inTransit.sumOf { it.tokens })

    private fun room(nowMillis: Long): Double = ownRoom() + borrowed.sumOf { it.remaining(nowMillis) }

    private fun millisToRefill(amount: Double): Double = amount / share / ratePerSecond * MILLIS_PER_SECOND

    private fun refill(nowMillis: Long) {
        val elapsed = maxOf(0, nowMillis - refilledMillis)
        refilledMillis += elapsed
        val refilled = ratePerSecond * share * elapsed / MILLIS_PER_SECOND
        lent = maxOf(0.0, lent - refilled)
        inTransit.removeIf { it.endMillis < nowMillis }
        borrowed.removeIf { it.remaining(nowMillis) <= 0 }
        tokens = minOf(tokens + refilled, room(nowMillis))
    }

    companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        // A killed process serves no requests for at least this long until its successor has started.
        private const val MINIMUM_RESTART_SECONDS = 0.5

        // Less is not worth a message.
        private const val MINIMUM_TRANSFER = 0.005

        // A node that needs many loans spends their tokens at once, so it does not need the room of the older ones.
        private const val MAXIMUM_BORROWED = 256

        // Sums of fractions that make up a whole token may be lower by the rounding of floating-point numbers.
        private const val ROUNDING = 1e-6

        /** Returns the most tokens that a [share] holds. A burst below one token would never admit a request. */
        fun capacity(burst: Double, share: Double): Double = maxOf(1.0, burst) * share
    }
}
