package org.poplarshift.standins.http

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import org.poplarshift.wire.WireJson

/** The codec of responses; optional fields without a value are left out. */
internal val responseJson = Json(WireJson.lenient) { explicitNulls = false }

/** Ends the response with [value] as JSON. */
internal inline fun <reified T> RoutingContext.respond(value: T, status: Int = 200) {
    if (response().ended() || response().closed()) return
    response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(responseJson.encodeToString(serializer<T>(), value))
}

/** Decodes the body, or ends the response with 400 and returns null. Unknown fields are errors. */
internal fun <T> RoutingContext.decodeStrictly(serializer: KSerializer<T>): T? = try {
    WireJson.strict.decodeFromString(serializer, body().asString().orEmpty())
} catch (exception: SerializationException) {
    response().setStatusCode(400).end(exception.message)
    null
}
