package org.poplarshift.core.quota

/**
 * One slot's bucket for one organisation with the token leases that were given from it.
 *
 * The bucket is debited before a lease exists. A lease's amount stays debited until the receiver settles the lease or
 * can't spend from it any more.
 */
class SlotQuota(val bucket: TokenBucket, private val times: QuotaTimes) {
    private val given = LinkedHashMap<Long, GivenLease>()

    /** Lends at most [amount], or returns null when there is nothing to lend. */
    fun lend(leaseId: Long, amount: Long, durationMillis: Long, nowMillis: Long): TokenLease? {
        restoreExpired(nowMillis)
        val lent = bucket.lend(amount, nowMillis)
        if (lent == 0L) return null
        given[leaseId] = GivenLease(lent, nowMillis + times.restoreMillis(durationMillis))
        return TokenLease(leaseId, lent, durationMillis)
    }

    /** Takes a receiver's settlement; one that was taken before, or comes after the expiry, changes nothing. */
    fun settle(settled: SettledLease, nowMillis: Long): Boolean {
        restoreExpired(nowMillis)
        val lease = given.remove(settled.leaseId) ?: return false
        bucket.settle(lease.amount, settled.returned.coerceIn(0, lease.amount), nowMillis)
        return true
    }

    /** Restores the capacity of leases that can't be spent any more. */
    fun restoreExpired(nowMillis: Long) {
        val expired = given.filterValues { it.restoredAtMillis <= nowMillis }
        expired.forEach { (leaseId, lease) ->
            given.remove(leaseId)
            bucket.settle(lease.amount, returned = 0, nowMillis)
        }
    }

    /** Whether any lease may still be spent. */
    fun hasGiven(nowMillis: Long): Boolean {
        restoreExpired(nowMillis)
        return given.isNotEmpty()
    }

    private data class GivenLease(val amount: Long, val restoredAtMillis: Long)
}
