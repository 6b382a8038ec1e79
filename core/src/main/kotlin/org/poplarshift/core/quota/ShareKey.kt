package org.poplarshift.core.quota

import kotlinx.serialization.Serializable
import org.poplarshift.core.ownership.Slot

/** One organisation's share at a slot, under one claim of the slot. */
@Serializable
data class ShareKey(val slot: Slot, val claimOffset: Long)
