package org.poplarshift.node.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.ext.web.Route
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.launch
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

private val log = KotlinLogging.logger {}

/**
 * Handles a route in a coroutine of [scope]. The request is paused until the coroutine reads its body with [readBody],
 * because Vert.x drops the body of a request that has no handler when its event ends.
 */
fun Route.suspendingHandler(scope: CoroutineScope, handle: suspend (RoutingContext) -> Unit): Route =
    handler { routing ->
        routing.request().pause()
        // Undispatched, so that close handlers are set before the next event of the connection.
        scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                handle(routing)
            } catch (exception: CancellationException) {
                routing.abortConnection()
                throw exception
            } catch (exception: Exception) {
                // The path is not logged because it may contain a key.
                log.error(exception) { "server: a ${routing.request().method()} request failed" }
                fail(routing)
            }
        }
    }

private fun fail(routing: RoutingContext) {
    val response = routing.response()
    if (response.headWritten()) {
        routing.abortConnection()
    } else {
        routing.refuse(ErrorResponse(RefusalReason.INTERNAL, "internal error", RunStatus.MAY_HAVE_RUN))
    }
}
