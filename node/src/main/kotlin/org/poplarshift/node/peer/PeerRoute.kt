package org.poplarshift.node.peer

import io.vertx.ext.web.Router
import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.http.BodyResult
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.json
import org.poplarshift.node.http.readBody
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.wire.WireJson

private const val MAXIMUM_BYTES = 1_048_576
private const val IDLE_MILLIS = 1_000L

/** Handles peer messages at [path]. Returns 400 when a message is undecodable or [respond] returns null for it. */
fun <Request, Response> Router.peerRoute(
    scope: CoroutineScope,
    path: String,
    requestSerializer: KSerializer<Request>,
    responseSerializer: KSerializer<Response>,
    respond: (Request) -> Response?,
) {
    post(path).suspendingHandler(scope) { routing ->
        val read = routing.request().readBody(MAXIMUM_BYTES, IDLE_MILLIS)
        val message = try {
            (read as? BodyResult.Complete)?.let {
                WireJson.lenient.decodeFromString(requestSerializer, it.body.toString())
            }
        } catch (_: SerializationException) {
            null
        }
        val response = message?.let(respond)
        if (response == null) {
            ErrorResponse(
                RefusalReason.BAD_REQUEST,
                "not a message for $path",
                RunStatus.NOT_RUN,
            ).send(routing.response())
        } else {
            routing.json(responseSerializer, response)
        }
    }
}
