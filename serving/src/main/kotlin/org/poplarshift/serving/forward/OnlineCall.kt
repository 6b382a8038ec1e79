package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.core.stream.StreamOrigin

/**
 * A caller's online request that has been authorised and routed.
 *
 * @property headers request headers as sent by the caller
 * @property receivedMillis monotonic time in milliseconds at which the request head was received
 * @property deadlineMillis monotonic time in milliseconds at which the timeout of the caller or the route expires
 * @property priority position in the queue; smaller values are dispatched first
 * @property allowedRegions regions whose workers may get the request, or null for all
 * @property resumeAfter id of the last event that the caller has received, or null
 * @property origin where the stream began that the call resumes, or null
 * @property resumedRequestId id of the request that delivered the first event of that stream, or null
 * @property isRateLimited whether the request needs a token of its organisation's rate limit
 */
data class OnlineCall(
    val id: String,
    val route: IngressRoute,
    val service: String,
    val organisation: String?,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
    val receivedMillis: Long,
    val deadlineMillis: Long,
    val priority: Int,
    val resumeAfter: Long?,
    val origin: StreamOrigin? = null,
    val resumedRequestId: String? = null,
    val isRateLimited: Boolean = false,
    val allowedRegions: Set<String>? = null,
) {
    /** Whether the caller has received the beginning of the stream from an earlier request. */
    val resumesStream: Boolean
        get() = route.kind == RouteKind.STREAM && resumeAfter != null

    /** Id of the request that started the stream. */
    val streamId: String
        get() = resumedRequestId?.takeIf { resumesStream } ?: id
}

/** Writes the response to a caller. */
interface CallerSink {
    /** Sends a complete response. */
    fun respond(status: Int, headers: MultiMap, body: Buffer)

    /** Sends the response head of a stream. */
    fun startStream(status: Int, headers: MultiMap)

    /** Writes [bytes] to the stream; suspends while the write queue is full because the caller reads slowly. */
    suspend fun write(bytes: Buffer)

    /** Ends a stream that is complete. */
    fun end()

    /** Closes the connection so that the caller sees the response as incomplete. */
    fun abort()
}

/** The outcome of a caller's online request. */
sealed interface OnlineOutcome {
    companion object {
        /** Reason for refusing a request that has crashed several workers. */
        const val QUARANTINED = "quarantined"
    }

    /** The worker's complete response was forwarded. */
    data class Delivered(val status: Int, val worker: String) : OnlineOutcome

    /** No worker has run the request, and none will. The caller may retry after [retryMillis], if it is known. */
    data class Refused(val reason: String, val retryMillis: Long? = null) : OnlineOutcome

    /** The request exceeds the rate limit of its organisation, and no worker has run it or will. */
    data class RateExceeded(val retryMillis: Long) : OnlineOutcome

    /** A worker may have run the request; no response was started. */
    data class Failed(val reason: String, val isTimeout: Boolean) : OnlineOutcome

    /** A response was started but can't be completed. */
    data class Aborted(val reason: String) : OnlineOutcome
}
