package org.poplarshift.node.status

import io.vertx.ext.web.Router
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart
import org.poplarshift.node.NodeState

/** Serves `/health/live`, `/health/ready` and `/metrics` on the peers port. */
class HealthRoutes(
    private val context: NodeContext,
    private val lifecycle: NodeLifecycle,
    private val peersRouter: Router,
) : NodePart {
    override suspend fun start() {
        peersRouter.get("/health/live").handler { it.end("live\n") }
        peersRouter.get("/health/ready").handler { routing ->
            val state = lifecycle.state.value
            routing.response().statusCode = if (state == NodeState.SERVING) READY else NOT_READY
            routing.end("${state.name.lowercase()}\n")
        }
        peersRouter.get("/metrics").handler { routing ->
            routing.response().putHeader("Content-Type", "text/plain; version=0.0.4")
            routing.end(context.metrics.scrape())
        }
    }

    private companion object {
        const val READY = 200
        const val NOT_READY = 503
    }
}
