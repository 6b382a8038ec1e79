package org.poplarshift.node.http

import io.vertx.ext.web.Router
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart

/**
 * Asks callers of a leaving node to close their connections after the next response. An idle connection that the node
 * itself closes can lose a request that is on its way.
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
