package org.poplarshift.core.quota

/**
 * The token leases that were given from one bucket. The bucket is debited before a lease exists, and the lease's
 * amount stays debited until the receiver settles the lease or can't spend from it any more.
 */
class GivenLeases(private val bucket: TokenBucket, private val times: QuotaTimes) {
    private val given = LinkedHashMap<Long, GivenLease>()

    /** Lends at most [amount], or returns null when there is nothing to lend. */
    fun lend(leaseId: Long, amount: Long, durationMillis: Long, nowMillis: Long): TokenLease? {
        if (durationMillis <= 0) return null
        val lent = bucket.lend(amount, nowMillis)
        if (lent == 0L) return null
        given[leaseId] = GivenLease(lent, nowMillis + times.restoreMillis(durationMillis))
        return TokenLease(leaseId, lent, durationMillis)
    }

    /** Takes a receiver's settlement; one that was taken before, or comes after the expiry, changes nothing. */
    fun settle(settled: SettledLease, nowMillis: Long) {
        val lease = given.remove(settled.leaseId) ?: return
        bucket.settle(lease.amount, settled.returned.coerceIn(0, lease.amount), nowMillis)
    }

    /** Restores the capacity of leases that can't be spent any more. */
    fun restoreExpired(nowMillis: Long) {
        if (given.values.none { it.restoredAtMillis <= nowMillis }) return
        given.values.filter { it.restoredAtMillis <= nowMillis }
            .forEach { bucket.settle(it.amount, returned = 0, nowMillis) }
        given.values.removeIf { it.restoredAtMillis <= nowMillis }
    }

    /** Whether there are none. */
    fun isEmpty(): Boolean = given.isEmpty()

    private data class GivenLease(val amount: Long, val restoredAtMillis: Long)
}
