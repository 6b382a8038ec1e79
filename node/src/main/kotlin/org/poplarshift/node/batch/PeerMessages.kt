package org.poplarshift.node.batch

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.poplarshift.node.http.BodyResult
import org.poplarshift.node.http.readBody
import org.poplarshift.wire.WireJson

/** Reads and decodes the message of a peer. Responds with status 400 and returns null when that fails. */
internal suspend fun <Message> RoutingContext.readMessage(serializer: KSerializer<Message>): Message? {
    val read = request().readBody(MAXIMUM_MESSAGE_BYTES, MESSAGE_IDLE_MILLIS)
    val message = try {
        (read as? BodyResult.Complete)?.let { WireJson.lenient.decodeFromString(serializer, it.body.toString()) }
    } catch (_: SerializationException) {
        null
    }
    if (message == null) fail(BAD_REQUEST)
    return message
}

private const val MAXIMUM_MESSAGE_BYTES = 1_048_576
private const val MESSAGE_IDLE_MILLIS = 1_000L
private const val BAD_REQUEST = 400
