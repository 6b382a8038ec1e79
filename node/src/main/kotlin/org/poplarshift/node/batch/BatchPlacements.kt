package org.poplarshift.node.batch

import org.poplarshift.core.batch.WorkerSlot
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer

/**
 * Selects workers with free batch capacity. Workers whose slots this node holds are preferred; the capacity of other
 * workers is as last reported by their holders.
 */
class BatchPlacements(
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val tasks: WorkerTasks,
) {
    private val reserved = HashMap<String, Int>()
    private val remoteCapacity = HashMap<String, Int>()

    /** Returns the workers of [upstream] with their holders. Workers without a reachable holder are omitted. */
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

    /** Returns the placement for the next item of [upstream], or null when no worker has free capacity. */
    fun choose(upstream: String): BatchPlacement? = placementsOf(upstream)
        .filter { freeCapacity(it) > 0 }
        .maxWithOrNull(compareBy({ it.holder == null }, ::freeCapacity))

    /** Reserves capacity at [placement] for an item that is about to be sent. */
    fun reserve(placement: BatchPlacement) {
        reserved.merge(placement.worker, 1, Int::plus)
    }

    /** Releases the capacity of [reserve] after the item was sent or abandoned. */
    fun unreserve(placement: BatchPlacement) {
        reserved.merge(placement.worker, -1) { count, change -> (count + change).takeIf { it > 0 } }
    }

    /** Returns the other nodes that hold workers of [upstream]. */
    fun holders(upstream: String): List<Peer> =
        placementsOf(upstream).mapNotNull { it.holder }.distinctBy { it.address }

    /** Stores the free capacity per worker that another holder reports. */
    fun onRemoteCapacity(capacity: Map<String, Int>) = remoteCapacity.putAll(capacity)

    /** Reduces the reported capacity of [worker], which another node holds, by one. */
    fun consumeRemoteCapacity(worker: String) {
        remoteCapacity.merge(worker, -1, Int::plus)
    }

    /** Sets the reported capacity of [worker] to zero after its holder did not run a task. */
    fun clearRemoteCapacity(worker: String) {
        remoteCapacity[worker] = 0
    }

    private fun freeCapacity(placement: BatchPlacement): Int = if (placement.holder == null) {
        tasks.freeCapacity(placement.worker) - (reserved[placement.worker] ?: 0)
    } else {
        remoteCapacity[placement.worker] ?: 0
    }
}
