package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.SlotTimes
import org.poplarshift.core.quota.FleetRateLimiter
import org.poplarshift.core.quota.QuotaShares
import org.poplarshift.core.quota.QuotaTimes
import org.poplarshift.core.quota.TokenGrant
import org.poplarshift.core.quota.TokenRequest

/**
 * A simulated fleet.
 *
 * @property demandShare requests as a multiple of each organisation's rate
 * @property isWithinLimits whether callers keep to the limits by themselves, so that every refusal is a wrong one
 * @property spread the weight of each VM at the balancer, repeated over the VMs
 * @property hasFaults whether processes, clocks and messages fail
 * @property sharesPerZone shares of an organisation in each zone, or null for the product's number
 * @property giver answers a request for tokens; a broken variant replaces it
 * @property oneWayMicros the usual delay of a message
 */
class FleetSettings(
    val organisations: List<Organisation>,
    val zones: Int = 3,
    val slotsPerZone: Int = 3,
    val vmsPerZone: Int = 3,
    val demandShare: Double = 2.0,
    val isWithinLimits: Boolean = false,
    val spread: List<Double> = listOf(4.0, 1.0),
    val hasFaults: Boolean = true,
    val slotTimes: SlotTimes = SlotTimes(isolationLimitMillis = 20_000),
    val quotaTimes: QuotaTimes = QuotaTimes(),
    val sharesPerZone: Int? = null,
    val isLocalOnly: Boolean = false,
    val oneWayMicros: Long = 1_500,
    val giver: (GiverCall) -> TokenGrant = { it.book.grant(it.shares, it.organisation, it.request, it.nowMillis) },
) {
    /** The catalogue that all VMs have. */
    val catalogue = Catalogue(
        zones = (0 until zones).map { AvailabilityZone("zone-$it", region = "region", slots = slotsPerZone) },
        organisations = organisations,
        upstreams = emptyList(),
    )

    /** How the limits are split. */
    fun shares(): QuotaShares =
        QuotaShares(catalogue, quotaTimes.driftShare, sharesPerZone ?: QuotaShares.sharesPerZone(catalogue))
}

/** A request for tokens at a giver. */
class GiverCall(
    val book: FleetRateLimiter,
    val shares: QuotaShares,
    val organisation: Organisation,
    val request: TokenRequest,
    val nowMillis: Long,
    val later: (delayMicros: Long, action: () -> Unit) -> Unit,
)
