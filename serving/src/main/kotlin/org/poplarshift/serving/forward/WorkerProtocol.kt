package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import org.poplarshift.core.dispatch.RequestSize

/** Maps the headers of requests and responses between nodes and workers. */
interface WorkerProtocol {
    /** Returns the headers of a request to a worker. [headers] are those of the caller or of a stored batch item. */
    fun requestHeaders(headers: MultiMap, attempt: AttemptMetadata): MultiMap

    /**
     * Returns the ids of those parts of the prompt that other requests may have in common with this one, in their order.
     *
     * The last part belongs to the request itself and is left out. [headers] are those of the caller or of a stored
     * batch item.
     */
    fun sharedPromptParts(headers: MultiMap): List<String>

    /** Returns the size that [headers] state for a request to an inference engine, or null if they state none. */
    fun requestSize(headers: MultiMap): RequestSize? = null

    /** Returns all values of the header that states the id of the request that a response belongs to. */
    fun responseRequestIds(headers: MultiMap): List<String>

    /** Parses the status and the headers of a response that has been identified, see [ResponseIdentity]. */
    fun readResponseHead(status: Int, headers: MultiMap): ResponseHead

    /** Returns those response headers that are forwarded to the caller. */
    fun responseHeaders(headers: MultiMap): MultiMap

    /** Returns the request that asks a worker for its start, or null if workers do not state it. */
    fun startRequest(): OutgoingRequest? = null

    /** Returns the start in Unix milliseconds that the response [body] states, or null if it states none. */
    fun readStart(body: ByteArray): Long? = null
}

/**
 * The values that the node adds to the headers of a request.
 *
 * @property worker id of the worker that the request is addressed to
 * @property remainingMillis time in milliseconds until the deadline of the request
 * @property organisation the organisation that the caller's key belongs to, or null
 * @property resumeAfter id of the last event of an earlier run, or null
 */
data class AttemptMetadata(
    val requestId: String,
    val worker: String,
    val remainingMillis: Long,
    val organisation: String?,
    val resumeAfter: Long?,
)

/**
 * The status and the parsed headers of a worker's response.
 *
 * @property hasNotRun whether the worker states that it did not run the request
 * @property requestsAtWorker number of running and waiting requests at the worker, or null
 * @property requestsPerSecond requests per second that the worker accepts from all nodes together, or null when it does
 *   not limit them at present
 * @property isLeaving whether the worker states that it leaves and must not get new requests
 * @property keepAliveMillis time in milliseconds that the worker keeps an idle connection open, or null
 * @property closesConnection whether the worker closes the connection after the response
 * @property workPercent how long work takes at the worker at present, in percent of its usual time, or null
 * @property hasReceipt whether the response contains the worker's receipt header
 */
data class ResponseHead(
    val status: Int,
    val hasNotRun: Boolean,
    val requestsAtWorker: Int?,
    val requestsPerSecond: Double?,
    val isLeaving: Boolean,
    val keepAliveMillis: Long?,
    val closesConnection: Boolean,
    val hasReceipt: Boolean,
    val workPercent: Int? = null,
)
