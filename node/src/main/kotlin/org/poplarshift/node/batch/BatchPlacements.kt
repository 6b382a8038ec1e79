package org.poplarshift.node.batch

import org.poplarshift.core.batch.WorkerSlot
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer

/** Finds workers with room for batch: own ones first, then those of other holders as they have said. */
class BatchPlacements(
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val tasks: WorkerTasks,
) {
    private val reserved = HashMap<String, Int>()
    private val remoteCapacity = HashMap<String, Int>()

    /** Workers of [upstream] with their holders; those without a reachable holder are left out. */
    fun placementsOf(upstream: String): List<BatchPlacement> {
        val catalogue = store.current.value.catalogue ?: return emptyList()
        val found = catalogue.upstream(upstream) ?: return emptyList()
        return found.workers.mapNotNull { worker ->
            val slot = WorkerSlot.of(catalogue, found, worker)
            when {
                ownership.isHolding(slot) -> BatchPlacement(worker.id, holder = null)
                else -> ownership.holderOf(slot)?.let { BatchPlacement(worker.id, it) }
            }
        }
    }

    /** The placement for the next item of [upstream], or null when there is no room. */
    fun choose(upstream: String): BatchPlacement? =
        placementsOf(upstream).filter { freeCapacity(it) > 0 }.maxWithOrNull(compareBy({ it.holder == null }, ::freeCapacity))

    /** Keeps a placement for an item that is about to be sent. */
    fun reserve(placement: BatchPlacement) {
        reserved.merge(placement.worker, 1, Int::plus)
    }

    /** Ends [reserve], when the item was sent or given up. */
    fun unreserve(placement: BatchPlacement) {
        reserved.merge(placement.worker, -1) { count, change -> (count + change).takeIf { it > 0 } }
    }

    /** The other nodes that hold workers of [upstream]. */
    fun holders(upstream: String): List<Peer> = placementsOf(upstream).mapNotNull { it.holder }.distinctBy { it.address }

    /** Takes what another holder says about its workers. */
    fun onRemoteCapacity(capacity: Map<String, Int>) = remoteCapacity.putAll(capacity)

    /** Uses up room at a worker of another holder. */
    fun consumeRemoteCapacity(worker: String) {
        remoteCapacity.merge(worker, -1, Int::plus)
    }

    /** The other holder had no room after all. */
    fun clearRemoteCapacity(worker: String) {
        remoteCapacity[worker] = 0
    }

    private fun freeCapacity(placement: BatchPlacement): Int = if (placement.holder == null) {
        tasks.freeCapacity(placement.worker) - (reserved[placement.worker] ?: 0)
    } else {
        remoteCapacity[placement.worker] ?: 0
    }
}
