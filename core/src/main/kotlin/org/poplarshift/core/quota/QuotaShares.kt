package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.Slot

/**
 * Splits the limits of every organisation over slots.
 *
 * An organisation has equal shares at a few slots of each zone, selected by hash. The selection does not depend on
 * anything that an operator can change, so the shares at nodes with different versions of a limit never add up to more
 * than the larger limit. With few shares a small burst can still be collected from them; more than one share per zone
 * limits the part of the limits that is lost with a VM.
 *
 * @param driftShare how much faster a holder's clock may run than the clock that measures the rate, as a fraction
 */
class QuotaShares(
    private val catalogue: Catalogue,
    private val driftShare: Double = 0.01,
    private val sharesPerZone: Int = sharesPerZone(catalogue),
) {
    private val slotsByOrganisation = mutableMapOf<String, List<Slot>>()

    /**
     * The slots that carry shares of [organisation]. If its shares are pooled, the first of these slots that has a
     * holder determines the VM that pools them.
     */
    fun slots(organisation: String): List<Slot> = slotsByOrganisation.getOrPut(organisation) {
        val hash = { slot: Slot -> mixedHash("$organisation $slot") }
        catalogue.zones.flatMap { zone ->
            (0 until zone.slots).map { Slot(zone.name, it) }.sortedBy(hash).take(sharesPerZone)
        }.sortedBy(hash)
    }

    /** Whether the shares of [organisation] are too small to be used separately, so that one VM pools them. */
    fun isPooled(organisation: Organisation): Boolean =
        organisation.burst < MINIMUM_SHARE_TOKENS * slots(organisation.id).size

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

    /** Mixes the bits of the hash code of [text], because the last characters of a string affect only the low bits. */
    private fun mixedHash(text: String): Int {
        val first = (text.hashCode() xor (text.hashCode() ushr 16)) * -0x7a143595
        return (first xor (first ushr 13)) * -0x3d4d51cb
    }

    companion object {
        private const val MINIMUM_SHARE_TOKENS = 8
        private const val TARGET_SHARES = 9

        /**
         * Three shares per zone for three zones. With more zones there are fewer shares per zone, which keeps the
         * shares large and the number of messages low.
         */
        fun sharesPerZone(catalogue: Catalogue): Int =
            (TARGET_SHARES + catalogue.zones.size - 1) / catalogue.zones.size.coerceAtLeast(1)
    }
}
