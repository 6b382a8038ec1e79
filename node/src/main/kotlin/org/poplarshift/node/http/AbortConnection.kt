package org.poplarshift.node.http

import io.vertx.core.http.impl.HttpServerConnection
import io.vertx.ext.web.RoutingContext

/**
 * Closes the caller's connection without completing the response.
 *
 * Vert.x closes a connection only after all written bytes are flushed, which never happens if the caller stops reading.
 * If the flush takes more than a second, the channel is closed and its unsent bytes are discarded.
 */
fun RoutingContext.abortConnection() {
    val connection = request().connection()
    var isClosed = false
    connection.close().onComplete { isClosed = true }
    if (isClosed) return
    vertx().setTimer(FLUSH_TIMEOUT_MILLIS) {
        if (!isClosed) (connection as? HttpServerConnection)?.channelHandlerContext()?.close()
    }
}

private const val FLUSH_TIMEOUT_MILLIS = 1_000L
