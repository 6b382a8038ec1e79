package org.poplarshift.serving.forward

import org.poplarshift.serving.MonotonicClock

/**
 * Remembers for a limited time which workers have sent bytes that do not belong to the waiting request.
 *
 * Most of such bytes are second responses, which arrive on a connection after the first one. The next request on the
 * connection then fails, so a request that may not be repeated should not be sent on a connection that was used before.
 */
class MisattributionTracker(private val clock: MonotonicClock) {
    private val untilMillis = HashMap<String, Long>()

    /** Records that the worker [id] has sent bytes that do not belong to the waiting request. */
    fun onForeignBytes(id: String) {
        untilMillis[id] = clock.millis() + MEMORY_MILLIS
    }

    /** Whether the worker [id] has sent such bytes a short time ago. */
    fun isSuspect(id: String): Boolean = untilMillis[id]?.let { it > clock.millis() } == true

    /** Forgets workers that are not in [workers], and those that have sent no such bytes lately. */
    fun expire(workers: Set<String>) {
        val now = clock.millis()
        untilMillis.entries.removeIf { (id, until) -> id !in workers || until <= now }
    }

    internal companion object {
        /**
         * The faults of workers on record last up to 8 s. A worker that goes on is found again by the requests that may be
         * repeated, or costs one of the others in each period.
         */
        const val MEMORY_MILLIS = 10_000L
    }
}
