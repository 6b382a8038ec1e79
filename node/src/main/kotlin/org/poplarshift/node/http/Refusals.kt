package org.poplarshift.node.http

import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.RoutingContext

/**
 * Sends [error] and discards the rest of the request's body. If the caller is still sending its body, the connection is
 * closed after a short delay; an immediate close could discard the response in transit.
 */
fun RoutingContext.refuse(error: ErrorResponse) {
    val request = request()
    val mayHaveUnreadBody = !request.isEnded && request.hasBody()
    if (mayHaveUnreadBody) response().putHeader("Connection", "close")
    error.send(response())
    if (request.isEnded) return
    request.handler { }
    request.resume()
    if (mayHaveUnreadBody) vertx().setTimer(DISCARD_TIMEOUT_MILLIS) { abortConnection() }
}

private fun HttpServerRequest.hasBody(): Boolean =
    getHeader("Transfer-Encoding") != null || (getHeader("Content-Length") ?: "0") != "0"

private const val DISCARD_TIMEOUT_MILLIS = 1_000L
