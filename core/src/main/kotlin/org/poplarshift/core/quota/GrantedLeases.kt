package org.poplarshift.core.quota

/**
 * The token leases that were given from one bucket. The bucket is debited before a lease exists, and the lease's
 * amount stays debited until the receiver settles the lease or can't spend from it any more.
 */
class GrantedLeases(private val bucket: TokenBucket, private val times: QuotaTimes) {
    private val leases = LinkedHashMap<Long, GrantedLease>()

    /** Lends at most [amount], or returns null when there is nothing to lend. */
    fun lend(leaseId: Long, amount: Long, durationMillis: Long, nowMillis: Long): TokenLease? {
        if (durationMillis <= 0) return null
        val lent = bucket.lend(amount, nowMillis)
        if (lent == 0L) return null
        leases[leaseId] = GrantedLease(lent, nowMillis + times.restoreMillis(durationMillis))
        return TokenLease(leaseId, lent, durationMillis)
    }

    /** Takes a receiver's settlement; one that was taken before, or comes after the expiry, changes nothing. */
    fun settle(settled: SettledLease, nowMillis: Long) {
        val lease = leases.remove(settled.leaseId) ?: return
        bucket.settle(lease.amount, settled.returned.coerceIn(0, lease.amount), nowMillis)
    }

    /** Restores the capacity of leases that can't be spent any more. */
    fun restoreExpired(nowMillis: Long) {
        if (leases.values.none { it.restoredAtMillis <= nowMillis }) return
        leases.values.filter { it.restoredAtMillis <= nowMillis }
            .forEach { bucket.settle(it.amount, returned = 0, nowMillis) }
        leases.values.removeIf { it.restoredAtMillis <= nowMillis }
    }

    /** Whether there are none. */
    fun isEmpty(): Boolean = leases.isEmpty()

    private data class GrantedLease(val amount: Long, val restoredAtMillis: Long)
}
