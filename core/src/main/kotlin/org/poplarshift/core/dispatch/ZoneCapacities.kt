package org.poplarshift.core.dispatch

/**
 * The capacities that other availability zones have announced for one service.
 *
 * An announcement counts until [EXPIRY_MILLIS] after its arrival. Requests that are redirected to a zone are subtracted
 * until its next announcement, so that not all of them are sent to the same free slot.
 */
class ZoneCapacities {
    private class Announcement(val capacity: ServiceCapacity, val receivedMillis: Long) {
        var redirected = 0
    }

    private val byZone = HashMap<String, Announcement>()

    /** Stores the [capacity] of [zone] in place of the previous one. */
    fun onAnnouncement(zone: String, capacity: ServiceCapacity, nowMillis: Long) {
        byZone[zone] = Announcement(capacity, nowMillis)
    }

    /** Ignores [zone] until its next announcement, because it can't be reached. */
    fun onUnreachable(zone: String) {
        byZone.remove(zone)
    }

    /** Returns the zone outside [excluded] with the most capacity for a request with [use], or null if none has any. */
    fun choose(use: SlotUse, nowMillis: Long, excluded: Set<String> = emptySet()): String? {
        byZone.values.removeIf { nowMillis - it.receivedMillis > EXPIRY_MILLIS }
        val best = byZone.filterKeys { it !in excluded }.maxByOrNull { (_, announcement) -> announcement.room(use) }
            ?: return null
        if (best.value.room(use) <= 0) return null
        best.value.redirected++
        return best.key
    }

    /** Whether some zone has capacity for a request with the given [use]. */
    fun hasRoom(use: SlotUse, nowMillis: Long): Boolean =
        byZone.values.any { nowMillis - it.receivedMillis <= EXPIRY_MILLIS && it.room(use) > 0 }

    /** Returns a zone outside [excluded] that has workers, preferably one with free slots, or null. */
    fun chooseAny(nowMillis: Long, excluded: Set<String> = emptySet()): String? {
        byZone.values.removeIf { nowMillis - it.receivedMillis > EXPIRY_MILLIS }
        return byZone
            .filter { (zone, announcement) -> zone !in excluded && announcement.capacity.workers > 0 }
            .maxByOrNull { (_, announcement) -> announcement.room(SlotUse.ONLINE) }
            ?.also { it.value.redirected++ }
            ?.key
    }

    private fun Announcement.room(use: SlotUse): Int = when (use) {
        SlotUse.ONLINE, SlotUse.URGENT_BATCH -> capacity.onlineSlots - redirected
        SlotUse.BATCH -> capacity.spare - capacity.waiting - redirected
    }

    private companion object {
        // Three announcement intervals. A zone that announces nothing for longer is probably cut off.
        const val EXPIRY_MILLIS = 800L
    }
}
