package org.poplarshift.verification.soak

import org.poplarshift.standins.worker.WorkerRun

/**
 * A batch submission as its caller knows it.
 *
 * Times are monotonic milliseconds.
 */
class SentSubmission(val id: String, val organisation: String, val items: List<SentItem>) {
    /** Statuses of the attempts to submit it; null when there was none. */
    val statuses = ArrayList<Int?>()

    /** Time of the first acceptance, or null. */
    var acceptedMillis: Long? = null

    /** Time at which its end was acknowledged, or null. */
    var endedMillis: Long? = null

    /** Whether its end was requested. */
    var isEndRequested = false

    /** The results by position, with the time at which each was first read. */
    val results = ArrayList<ReadResult>()

    /** Whether every attempt was answered with a refusal that promises that nothing runs. */
    val isRefused: Boolean
        get() = statuses.isNotEmpty() && statuses.all { it in REFUSALS }

    private companion object {
        val REFUSALS = setOf(408, 421, 429, 503)
    }
}

/** An item and the runs of workers. */
class SentItem(val id: String, val path: String) {
    val runs = ArrayList<WorkerRun>()
}

/** A result as it was first read. */
class ReadResult(val item: String, val state: String, val output: String, val readMillis: Long)
