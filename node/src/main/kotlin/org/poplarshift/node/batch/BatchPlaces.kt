package org.poplarshift.node.batch

import org.poplarshift.core.batch.WorkerSlot
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer

/** Finds workers with room for batch: own ones first, then those of other holders as they have said. */
class BatchPlaces(
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val tasks: WorkerTasks,
) {
    private val reserved = HashMap<String, Int>()
    private val remoteRoom = HashMap<String, Int>()

    /** Workers of [upstream] with their holders; those without a reachable holder are left out. */
    fun placesOf(upstream: String): List<BatchPlace> {
        val catalogue = store.current.value.catalogue ?: return emptyList()
        val found = catalogue.upstream(upstream) ?: return emptyList()
        return found.workers.mapNotNull { worker ->
            val slot = WorkerSlot.of(catalogue, found, worker)
            when {
                ownership.isHolding(slot) -> BatchPlace(worker.id, holder = null)
                else -> ownership.holderOf(slot)?.let { BatchPlace(worker.id, it) }
            }
        }
    }

    /** The place for the next item of [upstream], or null when there is no room. */
    fun choose(upstream: String): BatchPlace? =
        placesOf(upstream).filter { room(it) > 0 }.maxWithOrNull(compareBy({ it.holder == null }, ::room))

    /** Keeps a place for an item that is about to be sent. */
    fun reserve(place: BatchPlace) {
        reserved.merge(place.worker, 1, Int::plus)
    }

    /** Ends [reserve], when the item was sent or given up. */
    fun unreserve(place: BatchPlace) {
        reserved.merge(place.worker, -1) { count, change -> (count + change).takeIf { it > 0 } }
    }

    /** The other nodes that hold workers of [upstream]. */
    fun holders(upstream: String): List<Peer> = placesOf(upstream).mapNotNull { it.holder }.distinctBy { it.address }

    /** Takes what another holder says about its workers. */
    fun onRemoteRoom(room: Map<String, Int>) = remoteRoom.putAll(room)

    /** Uses up room at a worker of another holder. */
    fun useRemote(worker: String) {
        remoteRoom.merge(worker, -1, Int::plus)
    }

    /** The other holder had no room after all. */
    fun noRemoteRoom(worker: String) {
        remoteRoom[worker] = 0
    }

    private fun room(place: BatchPlace): Int = if (place.holder == null) {
        tasks.room(place.worker) - (reserved[place.worker] ?: 0)
    } else {
        remoteRoom[place.worker] ?: 0
    }
}
