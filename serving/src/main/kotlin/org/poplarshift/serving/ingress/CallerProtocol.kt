package org.poplarshift.serving.ingress

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.submission.ItemResult

/** How requests and answers look between callers and nodes. */
interface CallerProtocol {
    /** What a caller asks for. */
    fun decode(method: HttpMethod, uri: String, headers: MultiMap): CallerOperation

    /** Reads the body of a submission; null when it is none. */
    fun decodeSubmission(body: Buffer): List<SubmittedItem>?

    /** The body of a page of results. */
    fun encodeResults(total: Int, next: Int, results: List<ItemResult>): Buffer

    /** Headers that tell a caller to come back after [millis]. */
    fun retryAfterHeaders(millis: Long): MultiMap

    /** Whether [path] asks whether the node is ready. */
    fun isReadinessCheck(path: String): Boolean
}

/**
 * The parts of a request that every call has.
 *
 * @property requestId null when the caller gave none
 * @property timeoutMillis how long the caller waits, or null when it does not say
 * @property resumeAfter the last event that the caller has, or null
 */
data class CallerRequestHead(
    val requestId: String?,
    val key: String?,
    val host: String,
    val path: String,
    val timeoutMillis: Long?,
    val resumeAfter: Long?,
)

/** What a caller asks for. */
sealed interface CallerOperation {
    val head: CallerRequestHead

    /** A request to a worker, or a submission, as the route says. */
    data class Request(override val head: CallerRequestHead) : CallerOperation

    /** Results of [submission] from the position [after] on. */
    data class ReadResults(
        override val head: CallerRequestHead,
        val submission: String,
        val after: Int,
        val waitMillis: Long,
    ) : CallerOperation

    /** The body of an item. */
    data class ReadItem(override val head: CallerRequestHead, val submission: String, val item: String) :
        CallerOperation

    /** The end of a submission. */
    data class EndSubmission(override val head: CallerRequestHead, val submission: String) : CallerOperation

    /** A request that can't be read. */
    data class Malformed(override val head: CallerRequestHead, val reason: String) : CallerOperation
}

/** An item as a caller submits it. */
class SubmittedItem(
    val id: String,
    val path: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val tokens: Long,
)
