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
 * Parameters of a simulated fleet.
 *
 * @property demandFactor request rate as a multiple of each organisation's rate limit
 * @property areCallersLimited whether callers stay within the limits, so that every refusal is a false refusal
 * @property balancerWeights load-balancer weights, assigned to the VMs in rotation
 * @property hasFaults whether pauses, restarts, clock drift, message loss and partitions are injected
 * @property sharesPerZone quota shares of an organisation in each zone, or null for the default of [QuotaShares]
 * @property grantTokens answers a token request; tests replace it to inject a faulty implementation
 * @property oneWayDelayMicros mean one-way delay of a message that is not late
 */
class FleetSettings(
    val organisations: List<Organisation>,
    val zones: Int = 3,
    val slotsPerZone: Int = 3,
    val vmsPerZone: Int = 3,
    val demandFactor: Double = 2.0,
    val areCallersLimited: Boolean = false,
    val balancerWeights: List<Double> = listOf(4.0, 1.0),
    val hasFaults: Boolean = true,
    val slotTimes: SlotTimes = SlotTimes(isolationLimitMillis = 20_000),
    val quotaTimes: QuotaTimes = QuotaTimes(),
    val sharesPerZone: Int? = null,
    val isLocalOnly: Boolean = false,
    val oneWayDelayMicros: Long = 1_500,
    val grantTokens: (TokenRequestContext) -> TokenGrant = {
        it.book.grant(it.shares, it.organisation, it.request, it.nowMillis)
    },
) {
    /** The catalogue in force on all VMs. */
    val catalogue = Catalogue(
        zones = (0 until zones).map { AvailabilityZone("zone-$it", region = "region", slots = slotsPerZone) },
        organisations = organisations,
        upstreams = emptyList(),
    )

    /** Returns how each organisation's limits are divided into shares. */
    fun shares(): QuotaShares =
        QuotaShares(catalogue, quotaTimes.driftShare, sharesPerZone ?: QuotaShares.sharesPerZone(catalogue))
}

/** A token request as it arrives at the node that holds the slot. */
class TokenRequestContext(
    val book: FleetRateLimiter,
    val shares: QuotaShares,
    val organisation: Organisation,
    val request: TokenRequest,
    val nowMillis: Long,
    val schedule: (delayMicros: Long, action: () -> Unit) -> Unit,
)
