package org.poplarshift.node.batch

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.poplarshift.core.ownership.Slot
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.ownership.OwnedSlot
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer

/**
 * Holds all slots of the catalogue at every node. The rules of the log keep results and non-idempotent items right even
 * so; idempotent items may run once at each node.
 */
class LocalSlotOwnership(private val context: NodeContext, private val store: ConfigurationStore) :
    SlotOwnership,
    NodePart {
    private val owned = MutableStateFlow(emptySet<OwnedSlot>())

    override val ownedSlots: StateFlow<Set<OwnedSlot>> = owned

    override suspend fun start() {
        context.scope.launch {
            store.current.collect { current ->
                val zones = current.catalogue?.zones.orEmpty()
                owned.value = zones
                    .flatMap { zone -> List(zone.slots) { OwnedSlot(Slot(zone.name, it), FENCING_TOKEN) } }
                    .toSet()
            }
        }
    }

    override fun isHolding(slot: Slot): Boolean = owned.value.any { it.slot == slot }

    override fun fencingTokenOf(slot: Slot): Long? = FENCING_TOKEN.takeIf { isHolding(slot) }

    override fun holderOf(slot: Slot): Peer? = null

    private companion object {
        const val FENCING_TOKEN = 0L
    }
}
