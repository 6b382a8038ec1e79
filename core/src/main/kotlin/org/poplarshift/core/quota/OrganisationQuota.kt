package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/** What one VM knows of one organisation's tokens: its wallet, its demand and what it has asked for. */
class OrganisationQuota {
    /** The token leases received. */
    val wallet = TokenWallet()

    /** The requests that came to this VM. */
    val demand = DemandEstimate()

    /** What other holders are expected to have. */
    val choice = HolderChoice()

    /** The requests that have not been answered yet, by holder. */
    val asked = LinkedHashMap<String, Ask>()

    /** Requests that wait for a token now. */
    var waiting = 0

    /** What is to be asked for now, given [own] free tokens at this VM's slots that refill at [ownRefill] a second. */
    fun demandNow(organisation: Organisation, own: Long, ownRefill: Long, times: QuotaTimes, nowMillis: Long): Demand {
        val available = wallet.available(nowMillis) + own
        val needed = (waiting * MicroTokens.ONE_TOKEN - available).coerceAtLeast(0)
        val fromOthers = demand.perSecond(nowMillis) * MicroTokens.ONE_TOKEN - ownRefill
        val largest = organisation.burst * MicroTokens.ONE_TOKEN / PREFETCH_PARTS
        val ahead = minOf(fromOthers * times.prefetchMillis / 1_000, largest)
        val isWorthwhile = ahead >= MicroTokens.ONE_TOKEN
        val wanted = if (isWorthwhile && available < ahead) needed + ahead.toLong() else needed
        return Demand(needed = needed, wanted = wanted)
    }

    private companion object {
        /** One VM never prefetches more than this part of the burst. */
        const val PREFETCH_PARTS = 8
    }
}

/** Micro-tokens to ask for; see [TokenRequest]. */
data class Demand(val needed: Long, val wanted: Long)
