package org.poplarshift.core.quota

/**
 * A token bucket for one organisation that is refilled when it is used. Amounts are micro-tokens; times are monotonic
 * milliseconds of the holder.
 *
 * The sum of free and lent tokens never exceeds the capacity, so tokens that are lent and not yet settled are not
 * refilled.
 *
 * @param emptySinceMillis when the holder began to use the slot, with an empty bucket
 */
class TokenBucket(private var share: SlotShare, emptySinceMillis: Long) {
    private var free = 0L
    private var lent = 0L
    private var refilledAtMillis = emptySinceMillis
    private var remainder = 0L

    /** The refill in micro-tokens per second. */
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

    /**
     * Ends a loan of [amount], of which the receiver did not spend [returned] and no longer can.
     *
     * @throws IllegalArgumentException if [returned] is not between 0 and [amount]
     */
    fun settle(amount: Long, returned: Long, nowMillis: Long) {
        require(returned in 0..amount) { "quota: settlement returns $returned micro-tokens of a loan of $amount" }
        refill(nowMillis)
        delayRefillWhenFull(amount - returned, nowMillis)
        lent -= amount
        free = minOf(free + returned, freeCapacity())
    }

    /** Adds tokens from outside the bucket, up to the capacity. */
    fun add(amount: Long, nowMillis: Long) {
        refill(nowMillis)
        free = maxOf(free, minOf(free + amount, freeCapacity()))
    }

    /**
     * Removes [part] from the bucket and returns its tokens, or null if too many tokens are lent. The refill of one
     * millisecond is deducted, because the receiver's clock may begin to refill up to one millisecond early.
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
     * A millisecond clock may advance immediately after a full bucket was used. The refill therefore begins one
     * millisecond later; otherwise a burst and the refill of that millisecond could be spent within less time.
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

        /** Keeps the product of refill rate and time within 64 bits. */
        const val MAXIMUM_REFILL_MILLIS = 3_600_000L
    }
}
