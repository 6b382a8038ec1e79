package org.poplarshift.standins.worker

/**
 * One run of a request at a worker.
 *
 * @property stamp the stamp that responses of this run bear
 * @property startMillis monotonic time in milliseconds
 * @property organisation the organisation that the node has stated
 * @property resumeAfter the last event of an earlier run, or 0
 */
class WorkerRun(
    val worker: String,
    val requestId: String,
    val stamp: String,
    val startMillis: Long,
    val organisation: String?,
    val resumeAfter: Int,
    val request: ReceivedRequest,
) {
    /** Status that the worker has answered, or null when it has not answered. */
    var status: Int? = null

    /** Whether the worker has written its whole response. */
    var isComplete = false
}
