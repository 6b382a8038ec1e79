package org.poplarshift.serving.ingress

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.submission.ItemResult

/** Decodes requests of callers and encodes responses to them. */
interface CallerProtocol {
    /** Decodes the operation that a caller requests. */
    fun decode(method: HttpMethod, uri: String, headers: MultiMap): CallerOperation

    /** Decodes the items of a submission; returns null when [body] is not a valid submission. */
    fun decodeSubmission(body: Buffer): List<SubmittedItem>?

    /** Encodes a page of results. */
    fun encodeResults(total: Int, next: Int, results: List<ItemResult>): Buffer

    /** Returns the headers of a refusal which state that the caller may retry after [millis] milliseconds. */
    fun retryAfterHeaders(millis: Long): MultiMap

    /** Whether [path] is that of the readiness check. */
    fun isReadinessCheck(path: String): Boolean
}

/**
 * The parts of a request that all operations have.
 *
 * @property requestId the request id sent by the caller, or null
 * @property timeoutMillis the caller's timeout in milliseconds, or null when it does not state one
 * @property resumeAfter id of the last event that the caller has received, or null
 * @property resumedRequestId id of the request that delivered the first event of the stream to resume, or null
 */
data class CallerRequestHead(
    val requestId: String?,
    val key: String?,
    val host: String,
    val path: String,
    val timeoutMillis: Long?,
    val resumeAfter: Long?,
    val resumedRequestId: String? = null,
)

/** An operation requested by a caller. */
sealed interface CallerOperation {
    val head: CallerRequestHead

    /** A request to be forwarded to a worker, or a batch submission, depending on the kind of the route. */
    data class Request(override val head: CallerRequestHead) : CallerOperation

    /** Reads the results of [submission] from the position [after] on; waits up to [waitMillis] for the first one. */
    data class ReadResults(
        override val head: CallerRequestHead,
        val submission: String,
        val after: Int,
        val waitMillis: Long,
    ) : CallerOperation

    /** Reads the body of an item. */
    data class ReadItem(override val head: CallerRequestHead, val submission: String, val item: String) :
        CallerOperation

    /** Ends a submission. */
    data class EndSubmission(override val head: CallerRequestHead, val submission: String) : CallerOperation

    /** A request that can't be decoded. */
    data class Malformed(override val head: CallerRequestHead, val reason: String) : CallerOperation
}

/** An item of a batch submission. */
class SubmittedItem(
    val id: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val tokens: Long,
)
