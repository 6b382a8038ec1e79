package org.poplarshift.core.quota

/**
 * The token leases that were granted from one bucket. The bucket is debited before a lease is created, and the amount
 * stays debited until the receiver settles the lease or the lease has expired on every clock.
 */
class GrantedLeases(private val bucket: TokenBucket, private val times: QuotaTimes) {
    private val leases = LinkedHashMap<Long, GrantedLease>()

    /** Grants a lease of at most [amount] micro-tokens, or returns null if there is nothing to lend. */
    fun lend(leaseId: Long, amount: Long, durationMillis: Long, nowMillis: Long): TokenLease? {
        if (durationMillis <= 0) return null
        val lent = bucket.lend(amount, nowMillis)
        if (lent == 0L) return null
        leases[leaseId] = GrantedLease(lent, nowMillis + times.restoreMillis(durationMillis))
        return TokenLease(leaseId, lent, durationMillis)
    }

    /** Settles a lease; a repeated settlement, or one that arrives after the expiry, has no effect. */
    fun settle(settled: SettledLease, nowMillis: Long) {
        val lease = leases.remove(settled.leaseId) ?: return
        bucket.settle(lease.amount, settled.returned.coerceIn(0, lease.amount), nowMillis)
    }

    /** Restores the capacity of expired leases, whose receivers can no longer spend from them. */
    fun restoreExpired(nowMillis: Long) {
        if (leases.values.none { it.restoredAtMillis <= nowMillis }) return
        leases.values.filter { it.restoredAtMillis <= nowMillis }
            .forEach { bucket.settle(it.amount, returned = 0, nowMillis) }
        leases.values.removeIf { it.restoredAtMillis <= nowMillis }
    }

    /** Whether no lease is outstanding. */
    fun isEmpty(): Boolean = leases.isEmpty()

    private data class GrantedLease(val amount: Long, val restoredAtMillis: Long)
}
