package org.poplarshift.core.quota

/**
 * The part of an organisation's limits that a slot carries, in micro-tokens.
 *
 * @property refillPerSecond micro-tokens per second of the holder's clock
 */
data class SlotShare(val refillPerSecond: Long, val capacity: Long) {
    companion object {
        val NONE = SlotShare(refillPerSecond = 0, capacity = 0)
    }
}
