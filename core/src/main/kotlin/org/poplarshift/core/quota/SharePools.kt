package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The token pools of one VM, one for each organisation, and the lending of whole shares.
 *
 * The shares of a small organisation are less than a few tokens each. If they were used separately, they would fill
 * unevenly and leave unusable fractions of a token. The holder of the first slot of the organisation therefore borrows
 * all other shares for as long as there are requests. When it can't be reached, the loans expire and every holder uses
 * its own share.
 */
class SharePools(private val holding: SlotHolding, private val times: QuotaTimes) {
    private val pools = mutableMapOf<String, OrganisationPool>()
    private val lastUseMillis = mutableMapOf<String, Long>()
    private val lastRequestMillis = mutableMapOf<String, Long>()
    private val pendingRequests = mutableMapOf<String, OutgoingShareRequest>()

    /** Records that [organisation] has requests. */
    fun recordUse(organisation: String, nowMillis: Long) {
        lastUseMillis[organisation] = nowMillis
    }

    /** Returns the pool of [organisation], updated to [nowMillis]. */
    fun pool(shares: QuotaShares, organisation: Organisation, nowMillis: Long): OrganisationPool {
        val pool = pools.getOrPut(organisation.id) { OrganisationPool(times, nowMillis) }
        pool.update(own(shares, organisation, nowMillis), { shares.share(organisation, it.slot) }, nowMillis)
        return pool
    }

    /** The incarnation of the VM that pools [organisation] if this VM does not, or null if it is unknown. */
    fun poolingHolder(shares: QuotaShares, organisation: Organisation): String? =
        shares.slots(organisation.id).firstNotNullOfOrNull { holding.holder(it) }?.incarnation

    /** Whether this VM pools [organisation], which is the case if it holds the first of the slots that has a holder. */
    fun isPooledHere(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Boolean {
        val own = holding.usable(nowMillis).map { it.slot }.toSet()
        return shares.slots(organisation.id).firstOrNull { it in own || holding.holder(it) != null } in own
    }

    /** Returns requests for the shares of small organisations that are in use at this VM, one for each holder. */
    fun nextShareRequests(
        shares: QuotaShares,
        organisations: List<Organisation>,
        nowMillis: Long,
    ): List<OutgoingShareRequest> {
        val pooled = organisations.filter { isInUse(it.id, nowMillis) && shares.isPooled(it) }
            .filter { isPooledHere(shares, it, nowMillis) }
        val loans = pooled.flatMap { organisation ->
            val pool = pool(shares, organisation, nowMillis)
            shares.slots(organisation.id).mapNotNull { slot ->
                val holder = holding.holder(slot) ?: return@mapNotNull null
                val until = pool.borrowedUntilMillis(ShareKey(slot, holder.claimOffset)) ?: nowMillis
                Loan(holder.incarnation, organisation.id, isRenewalDue = until - nowMillis < times.shareLeaseMillis / 2)
            }
        }
        return loans.groupBy { it.holder }
            .filter { (holder, ofHolder) ->
                ofHolder.any { it.isRenewalDue } && !wasRequestedRecently(holder, nowMillis)
            }
            .map { (holder, ofHolder) ->
                lastRequestMillis[holder] = nowMillis
                OutgoingShareRequest(holder, ofHolder.map { it.organisation }.distinct(), nowMillis)
                    .also { pendingRequests[holder] = it }
            }
    }

    /** Handles a request of another VM for whole shares. */
    fun lend(
        shares: QuotaShares,
        organisations: List<Organisation>,
        request: ShareRequest,
        mayLend: Boolean,
        nowMillis: Long,
    ): ShareGrant {
        if (!mayLend) return ShareGrant(emptyList())
        val requested = organisations.filter { it.id in request.organisations && shares.isPooled(it) }
        return ShareGrant(
            requested.flatMap { organisation ->
                val pool = pool(shares, organisation, nowMillis)
                own(shares, organisation, nowMillis)
                    .mapNotNull { pool.lendShare(organisation.id, it, request.receiver, nowMillis) }
            },
        )
    }

    /**
     * Handles the response to [outgoing]. A response to an older request is ignored, because its shares may have been
     * lent again since.
     */
    fun borrow(
        shares: QuotaShares,
        organisations: List<Organisation>,
        outgoing: OutgoingShareRequest,
        grant: ShareGrant,
        nowMillis: Long,
    ) {
        if (pendingRequests[outgoing.holder] !== outgoing) return
        pendingRequests.remove(outgoing.holder)
        grant.shares.forEach { lent ->
            val organisation = organisations.firstOrNull { it.id == lent.organisation } ?: return@forEach
            val share = shares.share(organisation, lent.key.slot)
            pool(shares, organisation, nowMillis).borrow(lent, share, outgoing.sentMillis, nowMillis)
        }
    }

    /** Whether tokens or shares that this VM lent may still be in use. */
    fun hasOutstandingLoans(nowMillis: Long): Boolean = pools.values.any { it.hasOutstandingLoans(nowMillis) }

    private fun isInUse(organisation: String, nowMillis: Long): Boolean =
        lastUseMillis[organisation]?.let { nowMillis - it < IN_USE_MILLIS } ?: false

    private fun wasRequestedRecently(holder: String, nowMillis: Long): Boolean =
        lastRequestMillis[holder]?.let { nowMillis - it < REQUEST_INTERVAL_MILLIS } ?: false

    private fun own(shares: QuotaShares, organisation: Organisation, nowMillis: Long): List<OwnShare> =
        holding.usable(nowMillis).mapNotNull { usable ->
            val share = shares.share(organisation, usable.slot)
            if (share == SlotShare.NONE) return@mapNotNull null
            val key = ShareKey(usable.slot, usable.claimOffset)
            OwnShare(key, share, usable.usableFromMillis, usable.remainingMillis)
        }

    private data class Loan(val holder: String, val organisation: String, val isRenewalDue: Boolean)

    private companion object {
        /** Loans are no longer extended when an organisation has had no requests for this time. */
        const val IN_USE_MILLIS = 10_000L

        /** Shorter than the lending pause of a lender, so that the next request arrives before the pause ends. */
        const val REQUEST_INTERVAL_MILLIS = 250L
    }
}

/** A request for whole shares to send to the incarnation [holder]. */
class OutgoingShareRequest(val holder: String, val organisations: List<String>, val sentMillis: Long)
