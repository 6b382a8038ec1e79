package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.ingress.IngressRoute

/**
 * A caller's request that passed the checks.
 *
 * @property headers as the caller sent them
 * @property receivedMillis monotonic milliseconds at its first byte
 * @property deadlineMillis monotonic milliseconds at which the caller or the route stops waiting
 * @property priority smaller goes first among waiting requests
 * @property resumeAfter the last event that the caller has, or null
 */
class OnlineCall(
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
)

/** Takes the answer to a caller. */
interface CallerSink {
    /** Sends a complete answer. */
    fun respond(status: Int, headers: MultiMap, body: Buffer)

    /** Begins a stream. */
    fun startStream(status: Int, headers: MultiMap)

    /** Continues a stream; suspends while the caller is slow. */
    suspend fun write(bytes: Buffer)

    /** Ends a complete stream. */
    fun end()

    /** Closes the connection so that the answer does not look complete. */
    fun abort()
}

/** How a caller's request ended. */
sealed interface OnlineOutcome {
    companion object {
        /** The reason for requests that have crashed several workers. */
        const val QUARANTINED = "quarantined"
    }

    /** The worker's answer was passed on whole. */
    data class Delivered(val status: Int, val worker: String) : OnlineOutcome

    /** No worker has run it, and none will. */
    data class Refused(val reason: String) : OnlineOutcome

    /** It may have run; no answer was begun. */
    data class Failed(val reason: String, val isTimeout: Boolean) : OnlineOutcome

    /** An answer that was begun can't be completed. */
    data class Aborted(val reason: String) : OnlineOutcome
}
