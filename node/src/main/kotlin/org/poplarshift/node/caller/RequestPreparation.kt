package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.http.BodyResult
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.readBody
import org.poplarshift.node.settings.LimitSettings
import org.poplarshift.serving.http.HopByHopHeaders

/** Reads a caller's request and removes the caller's key and hop-by-hop headers. */
class RequestPreparation(private val limits: LimitSettings) {
    /** Reads [request] including its body. */
    suspend fun read(request: HttpServerRequest): ReadRequest {
        val body = when (val result = request.readBody(limits.bodyBytes, limits.callerIdleMillis)) {
            is BodyResult.Complete -> result.body
            BodyResult.TooLarge ->
                return refused(RefusalReason.BODY_TOO_LARGE, "the body exceeds ${limits.bodyBytes} bytes")

            BodyResult.Stalled ->
                return refused(
                    RefusalReason.CALLER_TIMEOUT,
                    "no part of the body came in ${limits.callerIdleMillis} ms",
                )
        }
        val scrubber = KeyScrubber(PresentedKeys.read(request.headers()))
        if (scrubber.containsKey(request.path())) return badRequest("the path must not contain a key")
        if (scrubber.containsPresentedKey(body.toString())) return badRequest("the body must not contain the key")
        val query = scrubber.scrubQuery(request.query())
        return ReadRequest.Complete(
            path = if (query == null) request.path() else "${request.path()}?$query",
            headers = HopByHopHeaders.remove(scrubber.scrub(request.headers()), REPLACED_HEADERS),
            body = body,
        )
    }

    private fun badRequest(message: String) = refused(RefusalReason.BAD_REQUEST, message)

    private fun refused(reason: RefusalReason, message: String) =
        ReadRequest.Refused(ErrorResponse(reason, message, RunStatus.NOT_RUN))

    private companion object {
        val REPLACED_HEADERS = setOf("host", "content-length", "expect", "x-request-id")
    }
}

/** The outcome of reading a caller's request. */
sealed interface ReadRequest {
    /** The path with the query, the headers and the body, without keys in path, query and headers. */
    data class Complete(val path: String, val headers: MultiMap, val body: Buffer) : ReadRequest

    /** The request must not run. */
    data class Refused(val error: ErrorResponse) : ReadRequest
}
