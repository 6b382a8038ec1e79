package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/** The state of one organisation's tokens at one VM: received leases, demand and pending requests. */
class OrganisationQuota {
    /** The token leases received. */
    val receivedLeases = ReceivedLeases()

    /** The rate of the requests that arrive at this VM. */
    val demand = DemandEstimate()

    /** Selects the holder to request tokens from. */
    val holderSelector = HolderSelector()

    /** The token requests without a response, by holder. */
    val pendingRequests = LinkedHashMap<String, OutgoingTokenRequest>()

    /** The number of requests that wait for a token. */
    var waitingRequests = 0

    /**
     * Returns the amount to request from other holders.
     *
     * @param own free micro-tokens at this VM's slots
     * @param ownRefill refill of these slots in micro-tokens per second
     */
    fun currentDemand(
        organisation: Organisation,
        own: Long,
        ownRefill: Long,
        times: QuotaTimes,
        nowMillis: Long,
    ): Demand {
        val available = receivedLeases.available(nowMillis) + own
        val needed = (waitingRequests * MicroTokens.ONE_TOKEN - available).coerceAtLeast(0)
        val fromOthers = demand.perSecond(nowMillis) * MicroTokens.ONE_TOKEN - ownRefill
        val maximum = organisation.burst * MicroTokens.ONE_TOKEN / PREFETCH_BURST_DIVISOR
        val prefetch = minOf(fromOthers * times.prefetchMillis / 1_000, maximum)
        val isWorthwhile = prefetch >= MicroTokens.ONE_TOKEN
        val wanted = if (isWorthwhile && available < prefetch) needed + prefetch.toLong() else needed
        return Demand(needed = needed, wanted = wanted)
    }

    private companion object {
        /** One VM prefetches at most an eighth of the burst. */
        const val PREFETCH_BURST_DIVISOR = 8
    }
}

/** The micro-tokens to request; see [TokenRequest]. */
data class Demand(val needed: Long, val wanted: Long)
