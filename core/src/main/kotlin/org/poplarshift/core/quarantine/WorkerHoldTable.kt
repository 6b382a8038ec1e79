package org.poplarshift.core.quarantine

/**
 * The workers that this node keeps free for suspects, its own and those of peers. A hold ends by release, or by expiry
 * when its node no longer renews it.
 */
class WorkerHoldTable {
    private class Entry(val hold: WorkerHold, var expiresMillis: Long)

    private val entries = HashMap<String, Entry>()

    /** Places or renews [hold], unless another suspect has the worker. */
    fun place(hold: WorkerHold, inFlight: Int, nowMillis: Long): HoldResponse {
        val current = entries[hold.worker]
        if (current != null && current.hold != hold && current.expiresMillis > nowMillis) return HoldResponse.Denied
        entries[hold.worker] = Entry(hold, nowMillis + DURATION_MILLIS)
        return HoldResponse.Held(inFlight)
    }

    /** Ends [hold]; has no effect on a hold of another suspect. */
    fun release(hold: WorkerHold) {
        if (entries[hold.worker]?.hold == hold) entries -= hold.worker
    }

    /** Whether [worker] is kept free for a suspect. */
    fun isHeld(worker: String, nowMillis: Long): Boolean = findHold(worker, nowMillis) != null

    /** The hold on [worker], or null. */
    fun findHold(worker: String, nowMillis: Long): WorkerHold? =
        entries[worker]?.takeIf { it.expiresMillis > nowMillis }?.hold

    /** Held workers. */
    fun heldWorkers(nowMillis: Long): Set<String> = entries.filterValues { it.expiresMillis > nowMillis }.keys

    companion object {
        /** How long a hold lasts without renewal. */
        const val DURATION_MILLIS = 5_000L

        /** How often the node of a hold renews it and asks how many requests are still in flight. */
        const val RENEWAL_MILLIS = 100L
    }
}
