package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The buckets of one VM, one for each organisation, and the lending of whole shares.
 *
 * The shares of a small organisation are less than a few tokens each. Used one by one they fill up unevenly and strand
 * fragments, so the holder of the first slot of the organisation borrows all the others for as long as there are
 * requests. When it can't be reached the loans end and every holder uses its own share.
 */
class SharePools(private val holding: SlotHolding, private val times: QuotaTimes) {
    private val pools = mutableMapOf<String, OrganisationPool>()
    private val lastUseMillis = mutableMapOf<String, Long>()
    private val lastRequestMillis = mutableMapOf<String, Long>()
    private val pendingRequests = mutableMapOf<String, OutgoingShareRequest>()

    /** Notes that [organisation] has requests. */
    fun recordUse(organisation: String, nowMillis: Long) {
        lastUseMillis[organisation] = nowMillis
    }

    /** The up-to-date bucket of [organisation]. */
    fun pool(shares: QuotaShares, organisation: Organisation, nowMillis: Long): OrganisationPool {
        val pool = pools.getOrPut(organisation.id) { OrganisationPool(times, nowMillis) }
        pool.update(own(shares, organisation, nowMillis), { shares.share(organisation, it.slot) }, nowMillis)
        return pool
    }

    /** The other VM that pools [organisation], or null when it is this one or unknown. */
    fun poolingHolder(shares: QuotaShares, organisation: Organisation): String? =
        shares.slots(organisation.id).firstNotNullOfOrNull { holding.holder(it) }?.incarnation

    /** Whether this VM pools [organisation]: it holds the first of its slots that has a holder. */
    fun isPooledHere(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Boolean {
        val own = holding.usable(nowMillis).map { it.slot }.toSet()
        return shares.slots(organisation.id).firstOrNull { it in own || holding.holder(it) != null } in own
    }

    /** Requests for the shares of small organisations that are in use here, one to each holder. */
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

    /** Answers a request for whole shares. */
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

    /** Takes the answer to [outgoing]; one to an older request is ignored, since its shares may have been lent again. */
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
        /** Loans end when an organisation has had no requests for this time. */
        const val IN_USE_MILLIS = 10_000L

        /** Longer than a holder holds back its tokens in order to lend a share. */
        const val REQUEST_INTERVAL_MILLIS = 250L
    }
}

/** A request for whole shares to send to [holder], which is an incarnation. */
class OutgoingShareRequest(val holder: String, val organisations: List<String>, val sentMillis: Long)
