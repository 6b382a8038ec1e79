package org.poplarshift.core.quota

import org.poplarshift.core.ownership.Slot

/** A slot that this VM may use now. */
data class UsableSlot(val slot: Slot, val claimOffset: Long, val usableFromMillis: Long, val remainingMillis: Long)

/** Provides the slots that this VM may use and the holders of the others. */
interface SlotHolding {
    /** The slots that this VM may use at [nowMillis]; evaluated at each call. */
    fun usable(nowMillis: Long): List<UsableSlot>

    /** The other VM that holds [slot], or null if there is none. */
    fun holder(slot: Slot): SlotHolder?
}

/** Another VM that holds a slot. */
data class SlotHolder(val incarnation: String, val claimOffset: Long, val isLocal: Boolean)
