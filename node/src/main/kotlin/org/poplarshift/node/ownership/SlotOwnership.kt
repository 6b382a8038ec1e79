package org.poplarshift.node.ownership

import kotlinx.coroutines.flow.StateFlow
import org.poplarshift.core.ownership.Slot
import org.poplarshift.node.peer.Peer

/** The slots that this node holds, and the holders of all other slots. */
interface SlotOwnership {
    /**
     * The slots that this node may use, in no particular order. A lease can expire before this value changes, for
     * example after a pause of the process. Callers therefore also check [isHolding] immediately before each use.
     */
    val ownedSlots: StateFlow<Set<OwnedSlot>>

    /** Whether this node may use [slot] now, judged by the age of the lease's last confirmation. */
    fun isHolding(slot: Slot): Boolean

    /**
     * Returns the fencing token of [slot], which is the offset of this node's claim, or null when [isHolding] is false.
     * A later holder of the same slot has a greater token.
     */
    fun fencingTokenOf(slot: Slot): Long?

    /** Returns the peer that holds [slot] as far as known, or null when it is this node, no node or unknown. */
    fun holderOf(slot: Slot): Peer?
}

/**
 * A slot that this node may use.
 *
 * @property fencingToken the offset of the claim in the stream `ownership`
 */
data class OwnedSlot(val slot: Slot, val fencingToken: Long)
