package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The fleet-wide rate limit at one VM: the shares of the slots that it holds, the leases that it has given and those
 * that it has received. It is not safe for concurrent use; times are monotonic milliseconds of this VM.
 */
class QuotaBook(private val holding: SlotHolding, private val times: QuotaTimes = QuotaTimes()) {
    private val organisations = mutableMapOf<String, OrganisationQuota>()
    private val pools = SharePools(holding, times)
    private var nextLeaseId = 0L
    private var givesLeases = true
    private var lastAnsweredMillis: Long? = null

    /** Counts a request of [organisation] for the estimate of its demand. */
    fun countRequest(organisation: String, nowMillis: Long) {
        quota(organisation).demand.count(nowMillis)
        pools.noteUse(organisation, nowMillis)
    }

    /** Spends one token if this VM has one. */
    fun admit(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Boolean {
        val wallet = quota(organisation.id).wallet
        val bucket = pools.pool(shares, organisation, nowMillis).bucket
        if (wallet.available(nowMillis) + bucket.free(nowMillis) < MicroTokens.ONE_TOKEN) return false
        val missing = MicroTokens.ONE_TOKEN - wallet.spend(MicroTokens.ONE_TOKEN, nowMillis)
        bucket.spend(missing, nowMillis)
        return true
    }

    /** Changes the number of requests of [organisation] that wait. */
    fun changeWaiting(organisation: String, difference: Int) {
        quota(organisation).waiting += difference
    }

    /** The next request for tokens to send, or null. At most [MAXIMUM_ASKED] holders are asked at a time. */
    fun ask(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Ask? {
        val quota = quota(organisation.id)
        val isPatient = quota.asked.values.any { nowMillis - it.sentMillis < SECOND_ASK_MILLIS }
        if (isPatient || quota.asked.size >= MAXIMUM_ASKED) return null
        val bucket = pools.pool(shares, organisation, nowMillis).bucket
        val demand = quota.demandNow(organisation, bucket.free(nowMillis), bucket.refillPerSecond, times, nowMillis)
        if (demand.wanted == 0L) return null
        val holder = holderToAsk(shares, organisation, quota, demand.wanted, nowMillis) ?: return null
        val settled = quota.wallet.takeSettled(holder)
        val request = TokenRequest(holder, organisation.id, demand.needed, demand.wanted, settled)
        return Ask(holder, request, nowMillis).also { quota.asked[holder] = it }
    }

    /** Takes the answer to [ask], or null when none came in time. A second answer to the same request is ignored. */
    fun answered(ask: Ask, grant: TokenGrant?, nowMillis: Long) {
        val quota = quota(ask.request.organisation)
        if (quota.asked[ask.holder] !== ask) return
        quota.asked.remove(ask.holder)
        if (grant == null || grant.isLeaving) return quota.choice.learnSilent(ask.holder, nowMillis)
        lastAnsweredMillis = nowMillis
        quota.choice.learn(ask.holder, grant.surplus, nowMillis)
        quota.wallet.add(ask.holder, listOfNotNull(grant.lease), ask.sentMillis)
    }

    /** Answers another VM's request: settles, then debits, then grants. */
    fun grant(shares: QuotaShares, organisation: Organisation, request: TokenRequest, nowMillis: Long): TokenGrant {
        if (request.wanted > 0) pools.noteUse(organisation.id, nowMillis)
        val pool = pools.pool(shares, organisation, nowMillis)
        request.settled.forEach { pool.given.settle(it, nowMillis) }
        if (!givesLeases) return TokenGrant(lease = null, surplus = 0, isLeaving = true)
        val free = pool.bucket.free(nowMillis)
        val needed = minOf(request.needed, free)
        val ahead = minOf(request.wanted - request.needed, (free - needed) / 2).coerceAtLeast(0)
        val lease = pool.given.lend(nextLeaseId++, needed + ahead, pool.leaseMillis(nowMillis), nowMillis)
        return TokenGrant(lease, surplus = pool.bucket.free(nowMillis))
    }

    /** Asks other holders to lend whole shares of small organisations that this VM pools; called every 100 ms or so. */
    fun shareAsks(shares: QuotaShares, organisations: List<Organisation>, nowMillis: Long): List<ShareAsk> =
        if (givesLeases) pools.asks(shares, organisations, nowMillis) else emptyList()

    /** Answers another VM's request for whole shares. */
    fun lendShares(
        shares: QuotaShares,
        organisations: List<Organisation>,
        request: ShareRequest,
        nowMillis: Long,
    ): ShareGrant = pools.lend(shares, organisations, request, mayLend = givesLeases, nowMillis)

    /** Takes the answer to [ask], once. */
    fun sharesLent(
        shares: QuotaShares,
        organisations: List<Organisation>,
        ask: ShareAsk,
        grant: ShareGrant,
        nowMillis: Long,
    ) {
        if (givesLeases) pools.borrow(shares, organisations, ask, grant, nowMillis)
    }

    /** Returns unused leases and forgets what is idle; the result is settlements to send. Called every 100 ms or so. */
    fun tick(nowMillis: Long): List<Ask> {
        organisations.values.filter { isIdle(it, times.idleReturnMillis, nowMillis) }
            .forEach { it.wallet.returnAll(nowMillis) }
        val settlements = organisations.flatMap { (organisation, quota) ->
            quota.wallet.giversToSettle(times.settleMillis, nowMillis).map { giver ->
                Ask(giver, TokenRequest(giver, organisation, 0, 0, quota.wallet.takeSettled(giver)), nowMillis)
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

    /** Whether tokens or shares that this VM lent may still be in use. */
    fun hasGiven(nowMillis: Long): Boolean = pools.hasGiven(nowMillis)

    /** Organisations with requests or tokens at this VM. */
    fun activeOrganisations(): Set<String> = organisations.keys

    private fun quota(organisation: String) = organisations.getOrPut(organisation) { OrganisationQuota() }

    private fun isIdle(quota: OrganisationQuota, millis: Long, nowMillis: Long): Boolean {
        val last = quota.demand.lastMillis ?: return quota.waiting == 0 && quota.asked.isEmpty()
        return quota.waiting == 0 && quota.asked.isEmpty() && nowMillis - last >= millis
    }

    private fun holderToAsk(
        shares: QuotaShares,
        organisation: Organisation,
        quota: OrganisationQuota,
        wanted: Long,
        nowMillis: Long,
    ): String? {
        if (shares.isPooled(organisation)) {
            if (pools.isPooledHere(shares, organisation, nowMillis)) return null
            val pooling = pools.poolingHolder(shares, organisation)
            val isUsable = pooling != null && !quota.choice.isSilent(pooling, nowMillis)
            if (isUsable) return pooling.takeUnless { it in quota.asked }
        }
        return quota.choice.choose(holders(shares, organisation), quota.asked.keys, wanted, nowMillis)?.holder
    }

    private fun holders(shares: QuotaShares, organisation: Organisation): List<HolderShare> =
        shares.slots(organisation.id)
            .mapNotNull { slot -> holding.holder(slot)?.let { it to shares.share(organisation, slot) } }
            .groupBy({ it.first }, { it.second })
            .map { (holder, parts) -> HolderShare(holder.incarnation, holder.isLocal, sum(parts)) }

    private fun sum(shares: List<SlotShare>) =
        SlotShare(shares.sumOf { it.refillPerSecond }, shares.sumOf { it.capacity })

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
