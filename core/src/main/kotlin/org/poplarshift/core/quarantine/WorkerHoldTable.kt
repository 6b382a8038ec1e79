package org.poplarshift.core.quarantine

/**
 * The workers that are held for suspects of this node and of its peers. A hold ends when it is released, and expires
 * when its node no longer renews it.
 */
class WorkerHoldTable {
    private class Entry(val hold: WorkerHold, var expiresMillis: Long)

    private val entries = HashMap<String, Entry>()

    /**
     * Places or renews [hold], unless the worker is held for another suspect.
     *
     * @param inFlight the number of requests that this node has in flight at the worker, returned in the response
     */
    fun place(hold: WorkerHold, inFlight: Int, nowMillis: Long): HoldResponse {
        val current = entries[hold.worker]
        if (current != null && current.hold != hold && current.expiresMillis > nowMillis) return HoldResponse.Denied
        entries[hold.worker] = Entry(hold, nowMillis + DURATION_MILLIS)
        return HoldResponse.Held(inFlight)
    }

    /** Releases [hold]. Does nothing if the worker is held for another suspect. */
    fun release(hold: WorkerHold) {
        if (entries[hold.worker]?.hold == hold) entries -= hold.worker
    }

    /** Whether [worker] is held for a suspect. */
    fun isHeld(worker: String, nowMillis: Long): Boolean = findHold(worker, nowMillis) != null

    /** Returns the unexpired hold on [worker], or null. */
    fun findHold(worker: String, nowMillis: Long): WorkerHold? =
        entries[worker]?.takeIf { it.expiresMillis > nowMillis }?.hold

    /** Returns the workers with an unexpired hold. */
    fun heldWorkers(nowMillis: Long): Set<String> = entries.filterValues { it.expiresMillis > nowMillis }.keys

    companion object {
        /** The time after which a hold expires unless it is renewed, in milliseconds. */
        const val DURATION_MILLIS = 5_000L

        /**
         * The interval at which a node renews a hold and requests the in-flight counts of its peers until the suspect
         * may run, in milliseconds.
         */
        const val RENEWAL_MILLIS = 100L
    }
}
