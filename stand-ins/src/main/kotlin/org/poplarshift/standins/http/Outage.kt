package org.poplarshift.standins.http

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a server fails while it is unavailable. */
@Serializable
enum class Outage {
    @SerialName("none")
    NONE,

    /** Responds with 503 without processing the request. */
    @SerialName("refuse")
    REFUSE,

    /** Closes the connection without processing the request. */
    @SerialName("drop")
    DROP,

    /** Accepts the request and sends no response. */
    @SerialName("silent")
    SILENT,
    ;

    /** Applies the outage to the request of [context]; returns false if the request is to be processed normally. */
    internal fun intercepts(context: RoutingContext): Boolean {
        when (this) {
            NONE -> return false
            REFUSE -> context.response().setStatusCode(503).putHeader("Retry-After", "1").end()
            DROP -> context.request().connection().close()
            SILENT -> Unit
        }
        return true
    }
}
