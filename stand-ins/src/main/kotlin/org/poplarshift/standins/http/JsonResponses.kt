package org.poplarshift.standins.http

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import org.poplarshift.wire.WireJson

/** The codec of responses. Null fields are omitted. */
internal val responseJson = Json(WireJson.lenient) { explicitNulls = false }

/** Sends [value] as JSON and ends the response. Does nothing if the response has already ended. */
internal inline fun <reified T> RoutingContext.respond(value: T, status: Int = 200) {
    if (response().ended() || response().closed()) return
    response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(responseJson.encodeToString(serializer<T>(), value))
}

/** Decodes the request body. On an error, such as an unknown field, responds with 400 and returns null. */
internal fun <T> RoutingContext.decodeStrictly(serializer: KSerializer<T>): T? = try {
    WireJson.strict.decodeFromString(serializer, body().asString().orEmpty())
} catch (exception: SerializationException) {
    response().setStatusCode(400).end(exception.message)
    null
}
