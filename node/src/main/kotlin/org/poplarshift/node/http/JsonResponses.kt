package org.poplarshift.node.http

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.KSerializer
import org.poplarshift.wire.WireJson

/** Ends the response with [value] as JSON. */
fun <Value> RoutingContext.json(serializer: KSerializer<Value>, value: Value, status: Int = 200) {
    response()
        .setStatusCode(status)
        .putHeader("Content-Type", "application/json")
        .end(WireJson.strict.encodeToString(serializer, value))
}
