package org.poplarshift.serving.forward

import io.vertx.core.MultiMap

/** How requests and answers look between nodes and workers. */
interface WorkerProtocol {
    /** The headers of a request to a worker. [headers] are those of the caller or of a stored item. */
    fun requestHeaders(headers: MultiMap, attempt: AttemptMetadata): MultiMap

    /** What the head of an answer tells. */
    fun readResponseHead(status: Int, headers: MultiMap): ResponseHead

    /** The headers of an answer that go to the caller. */
    fun responseHeaders(headers: MultiMap): MultiMap
}

/**
 * What the node adds to a request.
 *
 * @property worker id of the worker that is meant
 * @property remainingMillis time that the caller still waits
 * @property organisation the holder of the caller's key, or null
 * @property resumeAfter the last event of an earlier run, or null
 */
data class AttemptMetadata(
    val requestId: String,
    val worker: String,
    val remainingMillis: Long,
    val organisation: String?,
    val resumeAfter: Long?,
)

/**
 * What the head of a worker's answer tells.
 *
 * @property requestId the request that is answered, or null when the worker does not say
 * @property hasNotRun whether the worker states that it did not run the request
 * @property requestsAtWorker running and waiting requests at the worker, or null
 * @property keepAliveMillis how long the worker keeps the connection open without a request, or null
 * @property closesConnection whether the worker closes the connection after the answer
 * @property hasReceipt whether the answer bears the worker's receipt
 */
data class ResponseHead(
    val status: Int,
    val requestId: String?,
    val hasNotRun: Boolean,
    val requestsAtWorker: Int?,
    val keepAliveMillis: Long?,
    val closesConnection: Boolean,
    val hasReceipt: Boolean,
)
