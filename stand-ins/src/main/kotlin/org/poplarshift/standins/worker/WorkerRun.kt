package org.poplarshift.standins.worker

/**
 * One run of a request at a worker.
 *
 * @property softwareVersion version of the worker's software
 * @property stamp the stamp that responses of this run bear
 * @property startMillis monotonic time in milliseconds
 * @property isEngine whether the worker is one of a service with streams
 * @property organisation the organisation that the node has stated
 * @property resumeAfter the last event of an earlier run, or 0
 * @property fault how the worker responds
 */
class WorkerRun(
    val worker: String,
    val softwareVersion: String,
    val requestId: String,
    val stamp: String,
    val startMillis: Long,
    val isEngine: Boolean,
    val organisation: String?,
    val resumeAfter: Int,
    val request: ReceivedRequest,
    val fault: ResponseFault,
) {
    /** The body of a success, in the pieces in which it is written. */
    fun pieces(): List<String> = if (isEngine) {
        (resumeAfter + 1..ResponseContent.eventCount(requestId)).map {
            ResponseContent.event(requestId, it, softwareVersion)
        }
    } else {
        listOf(ResponseContent.plain(requestId))
    }

    /** Status of the first response of the worker, or null when it has not answered. */
    var status: Int? = null

    /** Whole body of the first response, as far as the worker meant to write it, or null when it has not answered. */
    var body: String? = null

    /**
     * Whether the worker has written its whole response, and its end can be known. Bytes behind a body that ends with its
     * connection leave no other way than to break the response off.
     */
    var isComplete = false
}
