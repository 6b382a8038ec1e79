package org.poplarshift.core.batch

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.ownership.Slot

/** Maps a worker to the slot whose holder manages the worker's batch share. */
object WorkerSlot {
    /** Returns the slot of [worker], based on its position among the workers of its upstream and availability zone. */
    fun of(catalogue: Catalogue, upstream: Upstream, worker: Worker): Slot {
        val slots = catalogue.zones.first { it.name == worker.zone }.slots
        val position = upstream.workers.filter { it.zone == worker.zone }.indexOfFirst { it.id == worker.id }
        return Slot(worker.zone, position.mod(slots))
    }
}
