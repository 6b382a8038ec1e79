package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.Slot

/**
 * The fleet-wide rate limit at one VM: the buckets of the slots that it holds, the leases that it has given and those
 * that it has received. It is not safe for concurrent use; times are monotonic milliseconds of this VM.
 */
class QuotaBook(private val holding: SlotHolding, private val times: QuotaTimes = QuotaTimes()) {
    private val quotas = mutableMapOf<SlotKey, SlotQuota>()
    private val organisations = mutableMapOf<String, OrganisationQuota>()
    private var nextLeaseId = 0L
    private var givesLeases = true
    private var lastAnsweredMillis: Long? = null

    /** Counts a request of [organisation] for the estimate of its demand. */
    fun countRequest(organisation: String, nowMillis: Long) = quota(organisation).demand.count(nowMillis)

    /** Spends one token if this VM has one. */
    fun admit(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Boolean {
        val quota = quota(organisation.id)
        val own = ownQuotas(shares, organisation, nowMillis)
        val free = own.sumOf { it.quota.bucket.free(nowMillis) }
        if (quota.wallet.available(nowMillis) + free < MicroTokens.ONE_TOKEN) return false
        var missing = MicroTokens.ONE_TOKEN - quota.wallet.spend(MicroTokens.ONE_TOKEN, nowMillis)
        own.forEach { missing -= it.quota.bucket.spend(missing, nowMillis) }
        return true
    }

    /** Changes the number of requests of [organisation] that wait. */
    fun changeWaiting(organisation: String, difference: Int) {
        quota(organisation).waiting += difference
    }

    /** The next request to send, or null. At most [MAXIMUM_ASKED] holders are asked at a time. */
    fun ask(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Ask? {
        val quota = quota(organisation.id)
        val isPatient = quota.asked.values.any { nowMillis - it.sentMillis < SECOND_ASK_MILLIS }
        if (isPatient || quota.asked.size >= MAXIMUM_ASKED) return null
        val own = ownQuotas(shares, organisation, nowMillis)
        val ownShare = sum(own.map { shares.share(organisation, it.slot) })
        val free = own.sumOf { it.quota.bucket.free(nowMillis) }
        val demand = quota.demandNow(organisation, free, ownShare.refillPerSecond, times, nowMillis)
        if (demand.wanted == 0L) return null
        val holder = quota.choice.choose(holders(shares, organisation), quota.asked.keys, demand.wanted, nowMillis)
            ?: return null
        val settled = quota.wallet.takeSettled(holder.holder)
        val request = TokenRequest(organisation.id, demand.needed, demand.wanted, settled)
        return Ask(holder.holder, request, nowMillis).also { quota.asked[holder.holder] = it }
    }

    /** Takes the answer to [ask], or null when none came in time. A second answer to the same request is ignored. */
    fun answered(ask: Ask, grant: TokenGrant?, nowMillis: Long) {
        val quota = quota(ask.request.organisation)
        if (quota.asked[ask.holder] !== ask) return
        quota.asked.remove(ask.holder)
        if (grant == null) return quota.choice.learnSilent(ask.holder, nowMillis)
        lastAnsweredMillis = nowMillis
        quota.choice.learn(ask.holder, grant.surplus, nowMillis)
        quota.wallet.add(ask.holder, grant.leases, ask.sentMillis)
    }

    /** Answers another VM's request: settles, then debits, then grants. */
    fun grant(shares: QuotaShares, organisation: Organisation, request: TokenRequest, nowMillis: Long): TokenGrant {
        val own = ownQuotas(shares, organisation, nowMillis)
        request.settled.forEach { settled -> own.any { it.quota.settle(settled, nowMillis) } }
        own.forEach { it.quota.restoreExpired(nowMillis) }
        val free = own.sumOf { it.quota.bucket.free(nowMillis) }
        val needed = minOf(request.needed, free)
        val ahead = minOf(request.wanted - request.needed, (free - needed) / 2).coerceAtLeast(0)
        var missing = if (givesLeases) needed + ahead else 0
        val leases = own.mapNotNull { slot ->
            val duration = minOf(times.leaseMillis, slot.remainingMillis)
            val lease = slot.quota.lend(nextLeaseId++, missing, duration, nowMillis)
            missing -= lease?.amount ?: 0
            lease
        }
        return TokenGrant(leases, surplus = own.sumOf { it.quota.bucket.free(nowMillis) })
    }

    /** Returns unused leases and forgets what is idle; the result is settlements to send. Called every 100 ms or so. */
    fun tick(nowMillis: Long): List<Ask> {
        dropLostSlots(nowMillis)
        organisations.values.filter { isIdle(it, times.idleReturnMillis, nowMillis) }
            .forEach { it.wallet.returnAll(nowMillis) }
        val settlements = organisations.flatMap { (organisation, quota) ->
            quota.wallet.giversToSettle(times.settleMillis, nowMillis).map { giver ->
                Ask(giver, TokenRequest(organisation, 0, 0, quota.wallet.takeSettled(giver)), nowMillis)
            }
        }
        organisations.values.removeIf { isIdle(it, FORGET_MILLIS, nowMillis) && it.wallet.isEmpty(nowMillis) }
        return settlements
    }

    /** Whether this VM can tell that the limit is used up, rather than being cut off from the holders. */
    fun isConfirmed(nowMillis: Long): Boolean =
        holding.usable(nowMillis).isNotEmpty() || lastAnsweredMillis?.let { nowMillis - it < CONFIRMED_MILLIS } ?: false

    /** Ends giving; leases that were given go on. */
    fun stopGiving() {
        givesLeases = false
    }

    /** Whether a lease that this VM gave may still be spent. */
    fun hasGiven(nowMillis: Long): Boolean = quotas.values.any { it.hasGiven(nowMillis) }

    /** Organisations with requests or tokens at this VM. */
    fun activeOrganisations(): Set<String> = organisations.keys

    private fun quota(organisation: String) = organisations.getOrPut(organisation) { OrganisationQuota() }

    private fun isIdle(quota: OrganisationQuota, millis: Long, nowMillis: Long): Boolean {
        val last = quota.demand.lastMillis ?: return quota.waiting == 0 && quota.asked.isEmpty()
        return quota.waiting == 0 && quota.asked.isEmpty() && nowMillis - last >= millis
    }

    private fun ownQuotas(shares: QuotaShares, organisation: Organisation, nowMillis: Long): List<OwnQuota> =
        holding.usable(nowMillis).mapNotNull { usable ->
            val share = shares.share(organisation, usable.slot)
            if (share == SlotShare.NONE) return@mapNotNull null
            val key = SlotKey(usable.slot, usable.claimOffset, organisation.id)
            val quota = quotas.getOrPut(key) { SlotQuota(TokenBucket(share, usable.usableFromMillis), times) }
            quota.bucket.useShare(share, nowMillis)
            OwnQuota(usable.slot, usable.remainingMillis, quota)
        }

    private fun holders(shares: QuotaShares, organisation: Organisation): List<HolderShare> =
        shares.slots(organisation.id)
            .mapNotNull { slot -> holding.holder(slot)?.let { it to shares.share(organisation, slot) } }
            .groupBy({ it.first }, { it.second })
            .map { (holder, parts) -> HolderShare(holder.incarnation, holder.isLocal, sum(parts)) }

    /** A bucket stays while its claim may be confirmed again: a new one would be full at once. */
    private fun dropLostSlots(nowMillis: Long) {
        val usable = holding.usable(nowMillis).associate { it.slot to it.claimOffset }
        quotas.keys.removeIf { key ->
            val isReclaimed = usable[key.slot]?.let { it != key.claimOffset } ?: false
            isReclaimed || holding.holder(key.slot) != null
        }
    }

    private fun sum(shares: List<SlotShare>) =
        SlotShare(shares.sumOf { it.refillPerSecond }, shares.sumOf { it.capacity })

    private data class SlotKey(val slot: Slot, val claimOffset: Long, val organisation: String)

    private class OwnQuota(val slot: Slot, val remainingMillis: Long, val quota: SlotQuota)

    companion object {
        const val MAXIMUM_ASKED = 2

        /** A second holder is asked when the first has not answered for several round trips between zones. */
        const val SECOND_ASK_MILLIS = 50L

        /** What is known about holders is of no use after this time without requests. */
        private const val FORGET_MILLIS = 60_000L

        /** A holder's answer shows for as long as a slot lease that this VM is not cut off. */
        private const val CONFIRMED_MILLIS = 4_000L
    }
}

/** A request to send to [holder], which is an incarnation. */
class Ask(val holder: String, val request: TokenRequest, val sentMillis: Long)
