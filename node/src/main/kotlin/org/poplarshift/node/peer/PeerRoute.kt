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

/** Answers messages of other nodes at [path]; a message that can't be read or that [answer] declines gets a 400. */
fun <Request, Response> Router.peerRoute(
    scope: CoroutineScope,
    path: String,
    requestSerializer: KSerializer<Request>,
    responseSerializer: KSerializer<Response>,
    answer: (Request) -> Response?,
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
        val response = message?.let(answer)
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
