package org.poplarshift.core.dispatch

/**
 * A worker as described by its registry entry.
 *
 * @property id usually changes when the worker restarts
 * @property address IP address and port
 * @property slots number of requests that the worker runs concurrently
 * @property coldUntilMillis monotonic time in milliseconds until which the worker is cold; 0 if it is not
 * @property startedMillis start time in Unix milliseconds; distinguishes restarts under the same id
 * @property softwareVersion version of the worker's software, or an empty text if its entry states none
 */
data class FleetWorker(
    val id: String,
    val service: String,
    val address: String,
    val zone: String,
    val slots: Int,
    val isDraining: Boolean,
    val startedMillis: Long,
    val coldUntilMillis: Long = 0,
    val softwareVersion: String = "",
) {
    /** The worker from its last start on. */
    val incarnation: WorkerIncarnation
        get() = WorkerIncarnation(id, startedMillis)
}
