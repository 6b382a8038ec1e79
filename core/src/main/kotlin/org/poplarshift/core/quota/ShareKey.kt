package org.poplarshift.core.quota

import kotlinx.serialization.Serializable
import org.poplarshift.core.ownership.Slot

/** Identifies the share of an organisation at a slot under one claim of the slot. */
@Serializable
data class ShareKey(val slot: Slot, val claimOffset: Long)
