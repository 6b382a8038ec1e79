package org.poplarshift.core.dispatch

/**
 * A [request] that waits for a slot. Times are monotonic milliseconds.
 *
 * @property sequence increases with each request
 * @property work expected work of the request in milliseconds of a slot, or 1 without an estimate
 */
internal class SlotWaiter(val request: SlotRequest, val sequence: Long, val work: Double, val queuedMillis: Long) {
    /** Time from which the request can no longer be on time. */
    val lateFromMillis: Long = when (request.use) {
        SlotUse.ONLINE -> request.onTimeUntilMillis
        SlotUse.URGENT_BATCH, SlotUse.BATCH -> BatchOrdering.tooLateFromMillis(request.onTimeUntilMillis)
    }

    companion object {
        /** Order among the requests of one organisation: online requests by arrival, batch items by due time. */
        val ORDER: Comparator<SlotWaiter> = compareBy(
            { if (it.request.use == SlotUse.ONLINE) 0L else it.request.onTimeUntilMillis },
            { it.sequence },
        )
    }
}
