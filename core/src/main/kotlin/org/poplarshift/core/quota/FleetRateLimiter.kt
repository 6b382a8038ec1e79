package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The fleet-wide rate limiter at one VM: the shares of the slots that it holds, and the leases that it has granted and
 * received. It is not safe for concurrent use. Times are monotonic milliseconds of this VM.
 */
class FleetRateLimiter(private val holding: SlotHolding, private val times: QuotaTimes = QuotaTimes()) {
    private val organisations = mutableMapOf<String, OrganisationQuota>()
    private val pools = SharePools(holding, times)
    private var nextLeaseId = 0L
    private var isGranting = true
    private var lastResponseMillis: Long? = null

    /** Counts a request of [organisation] in the estimate of its demand. */
    fun countRequest(organisation: String, nowMillis: Long) {
        quota(organisation).demand.countRequest(nowMillis)
        pools.recordUse(organisation, nowMillis)
    }

    /** Spends one token and returns whether this VM had one. */
    fun admit(shares: QuotaShares, organisation: Organisation, nowMillis: Long): Boolean {
        val receivedLeases = quota(organisation.id).receivedLeases
        val bucket = pools.pool(shares, organisation, nowMillis).bucket
        if (receivedLeases.available(nowMillis) + bucket.free(nowMillis) < MicroTokens.ONE_TOKEN) return false
        val missing = MicroTokens.ONE_TOKEN - receivedLeases.spend(MicroTokens.ONE_TOKEN, nowMillis)
        bucket.spend(missing, nowMillis)
        return true
    }

    /** Adds [difference] to the number of requests of [organisation] that wait for a token. */
    fun changeWaiting(organisation: String, difference: Int) {
        quota(organisation).waitingRequests += difference
    }

    /**
     * Returns the next token request to send, or null if none is due. At most [MAXIMUM_PENDING_REQUESTS] holders have a
     * pending request at a time.
     */
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

    /**
     * Handles the response to [outgoing]; [grant] is null if the request timed out. A second response to the same
     * request is ignored.
     */
    fun onTokenResponse(outgoing: OutgoingTokenRequest, grant: TokenGrant?, nowMillis: Long) {
        val quota = quota(outgoing.request.organisation)
        if (quota.pendingRequests[outgoing.holder] !== outgoing) return
        quota.pendingRequests.remove(outgoing.holder)
        if (grant == null || grant.isLeaving) return quota.holderSelector.recordTimeout(outgoing.holder, nowMillis)
        lastResponseMillis = nowMillis
        quota.holderSelector.recordSurplus(outgoing.holder, grant.surplus, nowMillis)
        quota.receivedLeases.add(outgoing.holder, listOfNotNull(grant.lease), outgoing.sentMillis)
    }

    /** Handles a token request of another VM: settles its leases, debits the bucket and grants a lease. */
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

    /**
     * Returns the requests to other holders for whole shares of the small organisations that this VM pools; called
     * about every 100 ms.
     */
    fun nextShareRequests(
        shares: QuotaShares,
        organisations: List<Organisation>,
        nowMillis: Long,
    ): List<OutgoingShareRequest> =
        if (isGranting) pools.nextShareRequests(shares, organisations, nowMillis) else emptyList()

    /** Handles a request of another VM for whole shares. */
    fun lendShares(
        shares: QuotaShares,
        organisations: List<Organisation>,
        request: ShareRequest,
        nowMillis: Long,
    ): ShareGrant = pools.lend(shares, organisations, request, mayLend = isGranting, nowMillis)

    /** Handles the response to [outgoing]; a second response is ignored. */
    fun onShareGrant(
        shares: QuotaShares,
        organisations: List<Organisation>,
        outgoing: OutgoingShareRequest,
        grant: ShareGrant,
        nowMillis: Long,
    ) {
        if (isGranting) pools.borrow(shares, organisations, outgoing, grant, nowMillis)
    }

    /**
     * Ends the received leases of idle organisations, removes the state of organisations that have been idle for long,
     * and returns the settlements to send; called about every 100 ms.
     */
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

    /** Whether a lack of tokens means that the limit is reached, not that this VM is cut off from the holders. */
    fun isConfirmed(nowMillis: Long): Boolean = holding.usable(nowMillis).isNotEmpty() ||
        lastResponseMillis?.let { nowMillis - it < CONFIRMATION_VALIDITY_MILLIS } ?: false

    /** Stops granting and lending; outstanding leases and loans stay valid. */
    fun stopGranting() {
        isGranting = false
    }

    /** Whether tokens or shares that this VM lent may still be in use. */
    fun hasOutstandingLoans(nowMillis: Long): Boolean = pools.hasOutstandingLoans(nowMillis)

    /** The organisations that have requests or tokens at this VM. */
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

        /** Several round trips between zones; after this time without a response a second holder receives a request. */
        const val SECOND_REQUEST_DELAY_MILLIS = 50L

        /** The reported surpluses of holders are out of date after this time without requests. */
        private const val IDLE_RETENTION_MILLIS = 60_000L

        /** A response of a holder shows for the duration of a slot lease that this VM is not cut off. */
        private const val CONFIRMATION_VALIDITY_MILLIS = 4_000L
    }
}

/** A token request to send to the incarnation [holder]. */
class OutgoingTokenRequest(val holder: String, val request: TokenRequest, val sentMillis: Long)
