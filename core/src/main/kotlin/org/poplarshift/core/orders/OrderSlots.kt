package org.poplarshift.core.orders

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.ownership.Slot

/** Maps upstreams to the slots whose holders issue their orders. */
object OrderSlots {
    /** The slot of the upstream [upstreamId]; all nodes with the same catalogue agree on it. */
    fun slotOf(catalogue: Catalogue, upstreamId: String): Slot {
        val slots = catalogue.zones.sortedBy { it.name }.flatMap { zone -> List(zone.slots) { Slot(zone.name, it) } }
        val index = catalogue.upstreams.map { it.id }.sorted().indexOf(upstreamId)
        return slots[index.mod(slots.size)]
    }
}
