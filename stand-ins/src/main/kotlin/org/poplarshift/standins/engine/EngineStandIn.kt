package org.poplarshift.standins.engine

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.standins.StandIn
import org.poplarshift.standins.http.LoadReport
import org.poplarshift.standins.http.RunRecorder
import org.poplarshift.standins.http.StandInServer
import org.poplarshift.standins.http.decodeStrictly
import org.poplarshift.standins.http.monotonicMillis
import org.poplarshift.standins.http.respond

private val logger = KotlinLogging.logger {}

/** Simulates one model engine. A crash closes the listener, discards all runs and the cache, and leads to a restart. */
class EngineStandIn(private val vertx: Vertx, private val settings: EngineSettings) : StandIn {
    private val server = StandInServer(vertx, settings.host, settings.port)
    private val events = CacheEvents(settings.faults.seed)
    private val cache = PrefixCache(settings.cacheBlocks, events)
    private val orderState = EngineOrderState(settings)
    private val scheduler = EngineScheduler(vertx, settings, cache, ::crash)
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private var restartJob: Job? = null

    /** The runs of all requests, including those before a crash. */
    val runs = RunRecorder()

    private val completionRoutes = CompletionRoutes(vertx, server, scheduler, orderState, runs)

    /** The faults that are currently injected. */
    @Volatile
    var faults: EngineFaults = settings.faults
        private set

    /** The number of crashes so far. */
    @Volatile
    var crashes = 0
        private set

    override val name = "engine ${settings.worker}"

    override val port: Int
        get() = server.port

    override suspend fun start() {
        completionRoutes.coldUntilMillis = monotonicMillis() + settings.coldStartMillis
        server.start(router())
        applyFaults(settings.faults)
    }

    override suspend fun stop() {
        scope.cancel()
        server.stop()
    }

    /** Replaces the injected faults, as `PUT /faults` does. */
    fun applyFaults(newFaults: EngineFaults) = applyFaults(newFaults, except = null)

    /** Crashes the engine, as a prompt with the crash marker does. It restarts after `restartAfterMillis`. */
    fun crash() {
        server.run {
            if (restartJob?.isActive == true) return@run
            crashes++
            logger.info { "stand-ins: $name crashed" }
            restartJob = scope.launch { restartAfterDelay() }
        }
    }

    private suspend fun restartAfterDelay() {
        server.stop()
        server.run {
            scheduler.clear()
            cache.clear()
        }
        delay(faults.restartAfterMillis)
        completionRoutes.coldUntilMillis = monotonicMillis() + settings.coldStartMillis
        server.start(router())
    }

    private fun applyFaults(newFaults: EngineFaults, except: HttpConnection?) {
        faults = newFaults
        server.partitionedSources = newFaults.partitionedSources
        if (newFaults.silenceEstablished) server.silenceEstablished(except)
        server.run {
            events.lossProbability = newFaults.cacheEventLossShare
            completionRoutes.applyFaults(newFaults)
        }
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
        completionRoutes.mount(router)
        router.get("/load").handler(::reportLoad)
        router.get("/cache-events").handler { context ->
            val from = context.queryParams()["from"]?.toLongOrNull() ?: 0
            context.respond(events.read(from, faults.cacheEventLagMillis))
        }
        router.post("/orders").handler(::handleOrder)
        router.get("/orders").handler { it.respond(orderState.report()) }
        router.get("/runs").handler { it.respond(runs.report(it.queryParams()["requestId"])) }
        router.post("/crash").handler { crash() }
        router.get("/faults").handler { it.respond(faults) }
        router.put("/faults").handler { context ->
            context.decodeStrictly(EngineFaults.serializer())?.let {
                applyFaults(it, except = context.request().connection())
                context.respond(it)
            }
        }
        return router
    }

    private fun reportLoad(context: RoutingContext) {
        val load = scheduler.loadHistory.at(monotonicMillis() - faults.loadReportLagMillis)
        context.respond(
            LoadReport(
                worker = settings.worker,
                running = load.running,
                waiting = load.waiting,
                capacity = settings.capacity,
                leaving = faults.leaving,
            ),
        )
    }

    private fun handleOrder(context: RoutingContext) {
        val order = context.decodeStrictly(EngineOrder.serializer()) ?: return
        val isApplied = orderState.apply(order)
        context.respond(orderState.report(), status = if (isApplied) 200 else 409)
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 16_777_216L
    }
}
