package org.poplarshift.core.orders

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.ownership.Slot

/** Maps each upstream to the slot whose holder issues its orders. */
object OrderSlots {
    /** Returns the slot of the upstream [upstreamId], which is the same on all nodes with the same catalogue. */
    fun slotOf(catalogue: Catalogue, upstreamId: String): Slot {
        val slots = catalogue.zones.sortedBy { it.name }.flatMap { zone -> List(zone.slots) { Slot(zone.name, it) } }
        val index = catalogue.upstreams.map { it.id }.sorted().indexOf(upstreamId)
        return slots[index.mod(slots.size)]
    }
}
