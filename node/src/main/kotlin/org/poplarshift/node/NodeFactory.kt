package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.poplarshift.node.settings.NodeSettings
import java.util.UUID

/** Creates a node with its runtime. */
object NodeFactory {
    /** Creates a node; [createPlatformPorts] creates the platform adapters on the node's Vert.x instance. */
    fun create(settings: NodeSettings, createPlatformPorts: (Vertx) -> PlatformPorts): Node {
        val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(WORKER_THREADS))
        val eventLoop = vertx.orCreateContext
        val context = NodeContext(
            settings = settings,
            incarnation = "${settings.vm}-${UUID.randomUUID().toString().takeLast(INCARNATION_DIGITS)}",
            vertx = vertx,
            scope = CoroutineScope(SupervisorJob() + eventLoop.dispatcher() + exceptionHandler),
            metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
            platform = createPlatformPorts(vertx),
        )
        return Node(context)
    }

    private val log = KotlinLogging.logger {}
    private val exceptionHandler = CoroutineExceptionHandler { _, exception ->
        log.error(exception) { "node: a background task failed" }
    }
    private const val WORKER_THREADS = 4

    // 48 random bits. Kept short, because messages between nodes and log records carry the incarnation.
    private const val INCARNATION_DIGITS = 12
}
