package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The fleet-wide rate limit at one VM: the shares of the slots that it holds, the leases that it has given and those
 * that it has received. It is not safe for concurrent use; times are monotonic milliseconds of this VM.
 */
class FleetRateLimiter(private val holding: SlotHolding, private val times: QuotaTimes = QuotaTimes()) {
    private val organisations = mutableMapOf<String, OrganisationQuota>()
    private val pools = SharePools(holding, times)
    private var nextLeaseId = 0L
    private var isGranting = true
    private var lastResponseMillis: Long? = null

    /** Counts a request of [organisation] for the estimate of its demand. */
    fun countRequest(organisation: String, nowMillis: Long) {
        quota(organisation).demand.countRequest(nowMillis)
        pools.recordUse(organisation, nowMillis)
    }

    /** Spends one token if this VM has one. */
    fun admit(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Boolean {
        val receivedLeases = quota(organisation.id).receivedLeases
        val bucket = pools.pool(shares, organisation, nowMillis).bucket
        if (receivedLeases.available(nowMillis) + bucket.free(nowMillis) < MicroTokens.ONE_TOKEN) return false
        val missing = MicroTokens.ONE_TOKEN - receivedLeases.spend(MicroTokens.ONE_TOKEN, nowMillis)
        bucket.spend(missing, nowMillis)
        return true
    }

    /** Changes the number of requests of [organisation] that wait. */
    fun changeWaiting(organisation: String, difference: Int) {
        quota(organisation).waitingRequests += difference
    }

    /** The next request for tokens to send, or null. At most [MAXIMUM_PENDING_REQUESTS] holders are asked at a time. */
    fun nextTokenRequest(shares: QuotaShares, organisation: Organisation, nowMillis: Long): OutgoingTokenRequest? {
        val quota = quota(organisation.id)
        val isAwaitingResponse = quota.pendingRequests.values.any {
            nowMillis - it.sentMillis < SECOND_REQUEST_DELAY_MILLIS
        }
        if (isAwaitingResponse || quota.pendingRequests.size >= MAXIMUM_PENDING_REQUESTS) return null
        val bucket = pools.pool(shares, organisation, nowMillis).bucket
        val demand = quota.currentDemand(organisation, bucket.free(nowMillis), bucket.refillPerSecond, times, nowMillis)
        if (demand.wanted == 0L) return null
        val holder = selectHolder(shares, organisation, quota, demand.wanted, nowMillis) ?: return null
        val settled = quota.receivedLeases.removeSettlements(holder)
        val request = TokenRequest(holder, organisation.id, demand.needed, demand.wanted, settled)
        return OutgoingTokenRequest(holder, request, nowMillis).also { quota.pendingRequests[holder] = it }
    }

    /** Takes the answer to [outgoing], or null when none came in time. A second answer to the same request is ignored. */
    fun onTokenResponse(outgoing: OutgoingTokenRequest, grant: TokenGrant?, nowMillis: Long) {
        val quota = quota(outgoing.request.organisation)
        if (quota.pendingRequests[outgoing.holder] !== outgoing) return
        quota.pendingRequests.remove(outgoing.holder)
        if (grant == null || grant.isLeaving) return quota.holderSelector.recordTimeout(outgoing.holder, nowMillis)
        lastResponseMillis = nowMillis
        quota.holderSelector.recordSurplus(outgoing.holder, grant.surplus, nowMillis)
        quota.receivedLeases.add(outgoing.holder, listOfNotNull(grant.lease), outgoing.sentMillis)
    }

    /** Answers another VM's request: settles, then debits, then grants. */
    fun grant(shares: QuotaShares, organisation: Organisation, request: TokenRequest, nowMillis: Long): TokenGrant {
        if (request.wanted > 0) pools.recordUse(organisation.id, nowMillis)
        val pool = pools.pool(shares, organisation, nowMillis)
        request.settled.forEach { pool.grantedLeases.settle(it, nowMillis) }
        if (!isGranting) return TokenGrant(lease = null, surplus = 0, isLeaving = true)
        val free = pool.bucket.free(nowMillis)
        val needed = minOf(request.needed, free)
        val prefetch = minOf(request.wanted - request.needed, (free - needed) / 2).coerceAtLeast(0)
        val lease = pool.grantedLeases.lend(nextLeaseId++, needed + prefetch, pool.leaseMillis(nowMillis), nowMillis)
        return TokenGrant(lease, surplus = pool.bucket.free(nowMillis))
    }

    /** Asks other holders to lend whole shares of small organisations that this VM pools; called every 100 ms or so. */
    fun nextShareRequests(
        shares: QuotaShares,
        organisations: List<Organisation>,
        nowMillis: Long,
    ): List<OutgoingShareRequest> =
        if (isGranting) pools.nextShareRequests(shares, organisations, nowMillis) else emptyList()

    /** Answers another VM's request for whole shares. */
    fun lendShares(
        shares: QuotaShares,
        organisations: List<Organisation>,
        request: ShareRequest,
        nowMillis: Long,
    ): ShareGrant = pools.lend(shares, organisations, request, mayLend = isGranting, nowMillis)

    /** Takes the answer to [outgoing], once. */
    fun onShareGrant(
        shares: QuotaShares,
        organisations: List<Organisation>,
        outgoing: OutgoingShareRequest,
        grant: ShareGrant,
        nowMillis: Long,
    ) {
        if (isGranting) pools.borrow(shares, organisations, outgoing, grant, nowMillis)
    }

    /** Returns unused leases and forgets what is idle; the result is settlements to send. Called every 100 ms or so. */
    fun tick(nowMillis: Long): List<OutgoingTokenRequest> {
        organisations.values.filter { isIdle(it, times.idleReturnMillis, nowMillis) }
            .forEach { it.receivedLeases.returnAll(nowMillis) }
        val settlements = organisations.flatMap { (organisation, quota) ->
            quota.receivedLeases.lendersToSettle(times.settleMillis, nowMillis).map { lender ->
                OutgoingTokenRequest(
                    lender,
                    TokenRequest(lender, organisation, 0, 0, quota.receivedLeases.removeSettlements(lender)),
                    nowMillis,
                )
            }
        }
        organisations.values.removeIf {
            isIdle(it, IDLE_RETENTION_MILLIS, nowMillis) &&
                it.receivedLeases.isEmpty(nowMillis)
        }
        return settlements
    }

    /** Whether this VM can tell that the limit is used up, rather than being cut off from the holders. */
    fun isConfirmed(nowMillis: Long): Boolean = holding.usable(nowMillis).isNotEmpty() ||
        lastResponseMillis?.let { nowMillis - it < CONFIRMATION_VALIDITY_MILLIS } ?: false

    /** Ends giving; leases that were given go on. */
    fun stopGranting() {
        isGranting = false
    }

    /** Whether tokens or shares that this VM lent may still be in use. */
    fun hasOutstandingLoans(nowMillis: Long): Boolean = pools.hasOutstandingLoans(nowMillis)

    /** Organisations with requests or tokens at this VM. */
    fun activeOrganisations(): Set<String> = organisations.keys

    private fun quota(organisation: String) = organisations.getOrPut(organisation) { OrganisationQuota() }

    private fun isIdle(quota: OrganisationQuota, millis: Long, nowMillis: Long): Boolean {
        val last =
            quota.demand.lastRequestMillis ?: return quota.waitingRequests == 0 && quota.pendingRequests.isEmpty()
        return quota.waitingRequests == 0 && quota.pendingRequests.isEmpty() && nowMillis - last >= millis
    }

    private fun selectHolder(
        shares: QuotaShares,
        organisation: Organisation,
        quota: OrganisationQuota,
        wanted: Long,
        nowMillis: Long,
    ): String? {
        if (shares.isPooled(organisation)) {
            if (pools.isPooledHere(shares, organisation, nowMillis)) return null
            val pooling = pools.poolingHolder(shares, organisation)
            val isUsable = pooling != null && !quota.holderSelector.isUnresponsive(pooling, nowMillis)
            if (isUsable) return pooling.takeUnless { it in quota.pendingRequests }
        }
        return quota.holderSelector.select(
            holders(shares, organisation),
            quota.pendingRequests.keys,
            wanted,
            nowMillis,
        )?.holder
    }

    private fun holders(shares: QuotaShares, organisation: Organisation): List<HolderShare> =
        shares.slots(organisation.id)
            .mapNotNull { slot -> holding.holder(slot)?.let { it to shares.share(organisation, slot) } }
            .groupBy({ it.first }, { it.second })
            .map { (holder, parts) -> HolderShare(holder.incarnation, holder.isLocal, total(parts)) }

    private fun total(shares: List<SlotShare>) =
        SlotShare(shares.sumOf { it.refillPerSecond }, shares.sumOf { it.capacity })

    companion object {
        const val MAXIMUM_PENDING_REQUESTS = 2

        /** A second holder is asked when the first has not answered for several round trips between zones. */
        const val SECOND_REQUEST_DELAY_MILLIS = 50L

        /** What is known about holders is of no use after this time without requests. */
        private const val IDLE_RETENTION_MILLIS = 60_000L

        /** A holder's answer shows for as long as a slot lease that this VM is not cut off. */
        private const val CONFIRMATION_VALIDITY_MILLIS = 4_000L
    }
}

/** A request to send to [holder], which is an incarnation. */
class OutgoingTokenRequest(val holder: String, val request: TokenRequest, val sentMillis: Long)
