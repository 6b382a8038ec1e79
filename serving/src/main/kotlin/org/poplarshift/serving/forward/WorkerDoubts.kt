package org.poplarshift.serving.forward

import org.poplarshift.serving.MonotonicClock

/** The workers whose process may have ended without the registry saying so, because a connection was lost or refused. */
class WorkerDoubts(private val clock: MonotonicClock) {
    /** A doubt that arose at [sinceMillis], in monotonic milliseconds. */
    class Doubt(val sinceMillis: Long)

    private val doubts = HashMap<String, Doubt>()

    /** Records that the process of [worker] may have ended. */
    fun add(worker: String) {
        doubts[worker] = Doubt(clock.millis())
    }

    /** Returns the latest doubt about [worker], or null. */
    fun of(worker: String): Doubt? = doubts[worker]

    /** Records that [doubt] about [worker] was unfounded, unless a later one has arisen. */
    fun remove(worker: String, doubt: Doubt?) {
        if (doubt != null) doubts.remove(worker, doubt)
    }

    /** Forgets all workers except [workers]. */
    fun retain(workers: Set<String>) {
        doubts.keys.retainAll(workers)
    }
}
