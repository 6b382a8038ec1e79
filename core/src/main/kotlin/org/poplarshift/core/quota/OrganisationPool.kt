package org.poplarshift.core.quota

/**
 * The shares of one organisation that a VM may use, combined into one token bucket: the shares of its own slots and the
 * shares that other holders have lent to it.
 *
 * A token lease never lasts longer than the shortest remaining time of all shares in the bucket. When a share ends, all
 * leases that were granted while it was active have expired. Dropping the tokens above the remaining capacity therefore
 * keeps the total number of tokens within the organisation's burst.
 */
class OrganisationPool(private val times: QuotaTimes, nowMillis: Long) {
    /** The tokens of all usable shares. */
    val bucket = TokenBucket(SlotShare.NONE, nowMillis)

    /** The token leases granted from [bucket]. */
    val grantedLeases = GrantedLeases(bucket, times)

    private val activeShares = LinkedHashMap<ShareKey, ActiveShare>()
    private val borrowed = LinkedHashMap<ShareKey, BorrowedShare>()
    private val lentShares = LinkedHashMap<ShareKey, ShareLoan>()
    private val creditedShares = mutableSetOf<ShareKey>()
    private var lendingPausedUntilMillis = 0L

    /** Updates the bucket to the VM's own shares and the current time. */
    fun update(own: List<OwnShare>, shareOf: (ShareKey) -> SlotShare, nowMillis: Long) {
        grantedLeases.restoreExpired(nowMillis)
        borrowed.values.removeIf { it.expiresAtMillis - nowMillis < MINIMUM_REMAINING_MILLIS }
        val returned = lentShares.filterValues { it.restoredAtMillis <= nowMillis }
        lentShares.keys.removeAll(returned.keys)
        val usable = own.filter { it.key !in lentShares }
        val current = LinkedHashMap<ShareKey, ActiveShare>()
        usable.forEach { current[it.key] = ActiveShare(it.share, nowMillis + it.remainingMillis) }
        borrowed.forEach { (key, loan) -> current[key] = ActiveShare(shareOf(key), loan.expiresAtMillis) }
        useShares(current, nowMillis)
        usable.filter { it.key !in creditedShares }.forEach { addAccrued(it, it.usableFromMillis, nowMillis) }
        usable.forEach { share -> returned[share.key]?.let { addAccrued(share, it.restoredAtMillis, nowMillis) } }
    }

    /** The maximum duration of a token lease that is granted now, in milliseconds; no lease is granted at 0 or less. */
    fun leaseMillis(nowMillis: Long): Long {
        if (nowMillis < lendingPausedUntilMillis) return 0
        return minOf(times.leaseMillis, (activeShares.values.minOfOrNull { it.endsAtMillis } ?: nowMillis) - nowMillis)
    }

    /**
     * Lends an own share as a whole, or extends its loan. Returns null if the remaining time is too short, the share is
     * lent to another receiver, or too many of its tokens are leased out.
     */
    fun lendShare(organisation: String, own: OwnShare, receiver: String, nowMillis: Long): LentShare? {
        val duration = minOf(times.shareLeaseMillis, own.remainingMillis)
        val loan = lentShares[own.key]
        if (duration <= MINIMUM_REMAINING_MILLIS || (loan != null && loan.receiver != receiver)) return null
        val tokens = if (loan == null) bucket.withdraw(own.share, nowMillis) else 0
        if (tokens == null) {
            lendingPausedUntilMillis = nowMillis + LENDING_PAUSE_MILLIS
            return null
        }
        val restoredAt = nowMillis + times.restoreMillis(duration)
        lentShares[own.key] = ShareLoan(receiver, maxOf(restoredAt, loan?.restoredAtMillis ?: restoredAt))
        creditedShares += own.key
        activeShares.remove(own.key)
        return LentShare(organisation, own.key, tokens, duration)
    }

    /** Adds a share that was requested at [sentMillis]. Call [update] before the next use of the bucket. */
    fun borrow(lent: LentShare, share: SlotShare, sentMillis: Long, nowMillis: Long) {
        val expiresAt = sentMillis + lent.durationMillis
        val isExtension = lent.key in borrowed
        if (expiresAt - nowMillis < MINIMUM_REMAINING_MILLIS) return
        borrowed[lent.key] = BorrowedShare(maxOf(expiresAt, borrowed[lent.key]?.expiresAtMillis ?: expiresAt))
        if (isExtension) return
        useShares(activeShares + (lent.key to ActiveShare(share, expiresAt)), nowMillis)
        bucket.add(lent.tokens, nowMillis)
    }

    /** When the loan of the borrowed share [key] expires, or null if it is not borrowed. */
    fun borrowedUntilMillis(key: ShareKey): Long? = borrowed[key]?.expiresAtMillis

    /** Whether a token lease or a lent share may still be in use. */
    fun hasOutstandingLoans(nowMillis: Long): Boolean {
        grantedLeases.restoreExpired(nowMillis)
        lentShares.values.removeIf { it.restoredAtMillis <= nowMillis }
        return !grantedLeases.isEmpty() || lentShares.isNotEmpty()
    }

    private fun useShares(current: Map<ShareKey, ActiveShare>, nowMillis: Long) {
        val total = SlotShare(
            refillPerSecond = current.values.sumOf { it.share.refillPerSecond },
            capacity = current.values.sumOf { it.share.capacity },
        )
        if (current !== activeShares) {
            val copy = LinkedHashMap(current)
            activeShares.clear()
            activeShares.putAll(copy)
        }
        bucket.useShare(total, nowMillis)
    }

    private fun addAccrued(own: OwnShare, emptySinceMillis: Long, nowMillis: Long) {
        creditedShares += own.key
        bucket.add(TokenBucket(own.share, emptySinceMillis).free(nowMillis), nowMillis)
    }

    private data class ActiveShare(val share: SlotShare, val endsAtMillis: Long)

    private data class BorrowedShare(val expiresAtMillis: Long)

    private data class ShareLoan(val receiver: String, val restoredAtMillis: Long)

    private companion object {
        /** A share that ends sooner is dropped, because it would shorten every token lease. */
        const val MINIMUM_REMAINING_MILLIS = 500L

        /** How long a lender grants no token leases, so that the open ones are settled and it can lend the share. */
        const val LENDING_PAUSE_MILLIS = 300L
    }
}

/** A share of a slot that this VM may use. */
data class OwnShare(val key: ShareKey, val share: SlotShare, val usableFromMillis: Long, val remainingMillis: Long)
