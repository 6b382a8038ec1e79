package org.poplarshift.node.http

import io.vertx.ext.web.Router
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart

/**
 * Sends `Connection: close` with the responses of a leaving node, so that callers close their connections. If the node
 * closed an idle connection itself, a request in transit could be lost.
 */
class ConnectionCloseHeader(private val lifecycle: NodeLifecycle, private val callersRouter: Router) : NodePart {
    override suspend fun start() {
        callersRouter.route().order(ROUTE_ORDER).handler { routing ->
            if (lifecycle.isLeaving) routing.response().putHeader("Connection", "close")
            routing.next()
        }
    }

    private companion object {
        const val ROUTE_ORDER = -1
    }
}
