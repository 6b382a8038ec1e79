package org.poplarshift.core.batch

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.ownership.Slot
import java.security.MessageDigest

/** Maps a job to the slot whose holder runs it. */
object HomeSlot {
    /**
     * Returns the home slot of a job among all slots of [catalogue]. It uses SHA-256, because `hashCode` may differ
     * between releases, and two releases run at the same time during an upgrade.
     */
    fun of(catalogue: Catalogue, key: JobKey): Slot {
        val slots = catalogue.zones.flatMap { zone -> List(zone.slots) { Slot(zone.name, it) } }
        return slots[hash(key).mod(slots.size)]
    }

    private fun hash(key: JobKey): Int {
        val text = "${key.organisation.length}:${key.organisation}${key.jobId}"
        val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
        return digest.take(Int.SIZE_BYTES).fold(0) { value, byte ->
            (value shl Byte.SIZE_BITS) or
                (byte.toInt() and 0xFF)
        }
    }
}
