package org.poplarshift.node.http

import io.vertx.core.http.HttpServerRequest
import io.vertx.ext.web.RoutingContext

/**
 * Sends [error] and drops what remains of the request's body. A caller that still sends its body gets a short time to
 * read the answer before the connection is closed; closing at once could discard the answer on its way.
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
