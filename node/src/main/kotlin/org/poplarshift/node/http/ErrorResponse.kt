package org.poplarshift.node.http

import io.vertx.core.http.HttpServerResponse
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.wire.ErrorBody
import org.poplarshift.wire.ErrorDetail
import org.poplarshift.wire.WireJson

/**
 * An error response to a caller.
 *
 * @property retryAfterMillis the delay before a retry; sent only for retryable reasons
 */
data class ErrorResponse(
    val reason: RefusalReason,
    val message: String,
    val ran: RunStatus,
    val retryAfterMillis: Long = 1_000,
) {
    /** Sends the error as [response], unless it is already ended or closed. */
    fun send(response: HttpServerResponse) {
        if (response.ended() || response.closed()) return
        response.statusCode = reason.status
        response.putHeader("Content-Type", "application/json")
        if (reason.retryable) response.putHeader("Retry-After", "$retryAfterSeconds")
        val body = ErrorBody(ErrorDetail(code = reason.code, message = message, ran = ran))
        response.end(WireJson.strict.encodeToString(ErrorBody.serializer(), body))
    }

    // Retry-After is in whole seconds; rounding down would cause a retry that is refused again.
    private val retryAfterSeconds: Long
        get() = maxOf(1, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
