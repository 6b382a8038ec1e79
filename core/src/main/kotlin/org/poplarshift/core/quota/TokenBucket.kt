package org.poplarshift.core.quota

/**
 * The token bucket of one slot for one organisation, refilled when it is used. Amounts are micro-tokens, times
 * monotonic milliseconds of the holder.
 *
 * Free tokens and lent tokens together never exceed the capacity, so that tokens that are lent and not yet settled
 * can't be refilled.
 *
 * @param emptySinceMillis when the holder began to use the slot, with an empty bucket
 */
class TokenBucket(private var share: SlotShare, emptySinceMillis: Long) {
    private var free = 0L
    private var lent = 0L
    private var refilledAtMillis = emptySinceMillis
    private var remainder = 0L

    /** Micro-tokens that come in a second. */
    val refillPerSecond: Long
        get() = share.refillPerSecond

    /** Refills and returns the free tokens. */
    fun free(nowMillis: Long): Long {
        refill(nowMillis)
        return free
    }

    /** Changes the limits; tokens above the new capacity are dropped. */
    fun useShare(newShare: SlotShare, nowMillis: Long) {
        if (newShare == share) return
        refill(nowMillis)
        share = newShare
        free = minOf(free, freeCapacity())
    }

    /** Spends at most [amount] and returns how much was spent. */
    fun spend(amount: Long, nowMillis: Long): Long {
        refill(nowMillis)
        val spent = minOf(amount, free)
        delayRefillWhenFull(spent, nowMillis)
        free -= spent
        return spent
    }

    /** Moves at most [amount] from the free tokens to the lent ones and returns how much was moved. */
    fun lend(amount: Long, nowMillis: Long): Long {
        refill(nowMillis)
        val moved = minOf(amount, free)
        free -= moved
        lent += moved
        return moved
    }

    /** Ends a loan of [amount], of which [returned] was not spent and never will be. */
    fun settle(amount: Long, returned: Long, nowMillis: Long) {
        require(returned in 0..amount) { "quota: $returned of $amount lent tokens were returned" }
        refill(nowMillis)
        delayRefillWhenFull(amount - returned, nowMillis)
        lent -= amount
        free = minOf(free + returned, freeCapacity())
    }

    /** Adds tokens that came from elsewhere, up to the capacity. */
    fun add(amount: Long, nowMillis: Long) {
        refill(nowMillis)
        free = maxOf(free, minOf(free + amount, freeCapacity()))
    }

    /**
     * Takes [part] out of the bucket and returns its tokens, or null when too much is lent. One millisecond's refill is
     * left out, because the receiver's clock may begin to refill up to one millisecond early.
     */
    fun withdraw(part: SlotShare, nowMillis: Long): Long? {
        refill(nowMillis)
        val left = SlotShare(share.refillPerSecond - part.refillPerSecond, share.capacity - part.capacity)
        val moved = minOf(free, part.capacity)
        if (free - moved + lent > left.capacity) return null
        share = left
        free -= moved
        return (moved - part.refillPerSecond / MILLIS_PER_SECOND - 1).coerceAtLeast(0)
    }

    private fun freeCapacity(): Long = (share.capacity - lent).coerceAtLeast(0)

    /**
     * A millisecond clock may show the next millisecond right after a full bucket was used. Refilling then begins one
     * millisecond later, or a burst and the refill of that millisecond could be spent within less time.
     */
    private fun delayRefillWhenFull(amount: Long, nowMillis: Long) {
        val perMillisecond = share.refillPerSecond / MILLIS_PER_SECOND + 1
        if (amount > 0 && free + lent > share.capacity - perMillisecond) {
            refilledAtMillis = maxOf(refilledAtMillis, nowMillis + 1)
            remainder = 0
        }
    }

    private fun refill(nowMillis: Long) {
        if (nowMillis <= refilledAtMillis) return
        val elapsed = minOf(nowMillis - refilledAtMillis, MAXIMUM_REFILL_MILLIS)
        val product = share.refillPerSecond * elapsed + remainder
        refilledAtMillis = nowMillis
        remainder = product % MILLIS_PER_SECOND
        val filled = free + product / MILLIS_PER_SECOND
        if (filled >= freeCapacity()) remainder = 0
        free = maxOf(free, minOf(filled, freeCapacity()))
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L

        /** Keeps the product of rate and time within 64 bits. */
        const val MAXIMUM_REFILL_MILLIS = 3_600_000L
    }
}
