package org.poplarshift.standins.http

import io.vertx.ext.web.RoutingContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a service fails while it is down. */
@Serializable
enum class Outage {
    @SerialName("none")
    NONE,

    /** Responds with 503 and does nothing. */
    @SerialName("refuse")
    REFUSE,

    /** Closes the connection and does nothing. */
    @SerialName("drop")
    DROP,

    /** Accepts the request and never responds. */
    @SerialName("silent")
    SILENT,
    ;

    /** Fails the request of [context]; returns whether the request was taken. */
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
