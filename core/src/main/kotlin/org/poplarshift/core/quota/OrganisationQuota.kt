package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/** What one VM knows of one organisation's tokens: its wallet, its demand and what it has asked for. */
class OrganisationQuota {
    /** The token leases received. */
    val receivedLeases = ReceivedLeases()

    /** The requests that came to this VM. */
    val demand = DemandEstimate()

    /** What other holders are expected to have. */
    val holderSelector = HolderSelector()

    /** The requests that have not been answered yet, by holder. */
    val pendingRequests = LinkedHashMap<String, OutgoingTokenRequest>()

    /** Requests that wait for a token now. */
    var waitingRequests = 0

    /** What is to be asked for now, given [own] free tokens at this VM's slots that refill at [ownRefill] a second. */
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
        /** One VM never prefetches more than this part of the burst. */
        const val PREFETCH_BURST_DIVISOR = 8
    }
}

/** Micro-tokens to ask for; see [TokenRequest]. */
data class Demand(val needed: Long, val wanted: Long)
