package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.Slot

/**
 * Splits the limits of every organisation over slots.
 *
 * An organisation has equal shares at a few slots of each zone, chosen by hash. The choice depends on nothing that an
 * operator can change, so that nodes with different versions of a limit never add up to more than the larger one. Few
 * shares keep a small burst collectable; more than one a zone limits what the loss of a VM costs.
 *
 * @param driftShare how much faster a holder's clock may run than the clock that measures the rate
 */
class QuotaShares(
    private val catalogue: Catalogue,
    private val driftShare: Double = 0.01,
    private val sharesPerZone: Int = SHARES_PER_ZONE,
) {
    private val slotsByOrganisation = mutableMapOf<String, List<Slot>>()

    /** The slots that carry shares of [organisation]. */
    fun slots(organisation: String): List<Slot> = slotsByOrganisation.getOrPut(organisation) {
        catalogue.zones.flatMap { zone ->
            (0 until zone.slots)
                .map { Slot(zone.name, it) }
                .sortedBy { mixed("$organisation $it") }
                .take(sharesPerZone)
        }
    }

    /** The share of [organisation] at [slot]; the shares at all slots add up to at most its limits. */
    fun share(organisation: Organisation, slot: Slot): SlotShare {
        val slots = slots(organisation.id)
        val position = slots.indexOf(slot)
        if (position < 0) return SlotShare.NONE
        val refill = (organisation.ratePerSecond * MicroTokens.ONE_TOKEN / (1 + driftShare)).toLong()
        val burst = (organisation.burst * MicroTokens.ONE_TOKEN).toLong()
        return SlotShare(part(refill, position, slots.size), part(burst, position, slots.size))
    }

    private fun part(whole: Long, position: Int, parts: Int): Long =
        whole / parts + if (position < whole % parts) 1 else 0

    /** Spreads the hash of a string, whose last characters change only its low bits. */
    private fun mixed(text: String): Int {
        val first = (text.hashCode() xor (text.hashCode() ushr 16)) * -0x7a143595
        return (first xor (first ushr 13)) * -0x3d4d51cb
    }

    companion object {
        const val SHARES_PER_ZONE = 3
    }
}
