package org.poplarshift.node.http

import io.netty.handler.codec.TooLongFrameException
import io.vertx.core.Handler
import io.vertx.core.http.HttpServerRequest
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.settings.LimitSettings

/** Responds to a request that the HTTP decoder rejects with an [ErrorResponse] and closes the connection. */
class InvalidRequestHandler(private val limits: LimitSettings) : Handler<HttpServerRequest> {
    override fun handle(request: HttpServerRequest) {
        val response = request.response().putHeader("Connection", "close")
        when (request.decoderResult().cause()) {
            is TooLongFrameException -> {
                val message = "the limits are ${limits.requestLineBytes} bytes a line, ${limits.headerBytes} a header"
                ErrorResponse(RefusalReason.HEADER_TOO_LARGE, message, RunStatus.NOT_RUN).send(response)
            }

            else -> ErrorResponse(
                RefusalReason.BAD_REQUEST,
                "the request is not valid HTTP",
                RunStatus.NOT_RUN,
            ).send(response)
        }
    }
}
