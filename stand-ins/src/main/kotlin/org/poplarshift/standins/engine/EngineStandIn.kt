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

/** Plays one model engine. A crash closes the listener, drops all runs and the cache, and is followed by a restart. */
class EngineStandIn(private val vertx: Vertx, private val settings: EngineSettings) : StandIn {
    private val server = StandInServer(vertx, settings.host, settings.port)
    private val events = CacheEvents(settings.faults.seed)
    private val cache = PrefixCache(settings.cacheBlocks, events)
    private val orders = OrderBook(settings)
    private val scheduler = EngineScheduler(vertx, settings, cache, ::crash)
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private var restart: Job? = null

    /** The runs of all requests since the first start. */
    val runs = RunRecorder()

    private val completions = CompletionRoutes(vertx, server, scheduler, orders, runs)

    /** The faults in force. */
    @Volatile
    var faults: EngineFaults = settings.faults
        private set

    /** How often the engine has crashed. */
    @Volatile
    var crashes = 0
        private set

    override val name = "engine ${settings.worker}"

    override val port: Int
        get() = server.port

    override suspend fun start() {
        completions.coldUntilMillis = monotonicMillis() + settings.coldStartMillis
        server.start(router())
        use(settings.faults)
    }

    override suspend fun stop() {
        scope.cancel()
        server.stop()
    }

    /** Puts [newFaults] in force, as `PUT /faults` does. */
    fun use(newFaults: EngineFaults) = use(newFaults, except = null)

    /** Kills the engine as a marked prompt does; it listens again after `restartAfterMillis`. */
    fun crash() {
        server.run {
            if (restart?.isActive == true) return@run
            crashes++
            logger.info { "stand-ins: $name crashed" }
            restart = scope.launch { goDownAndUp() }
        }
    }

    private suspend fun goDownAndUp() {
        server.stop()
        server.run {
            scheduler.clear()
            cache.clear()
        }
        delay(faults.restartAfterMillis)
        completions.coldUntilMillis = monotonicMillis() + settings.coldStartMillis
        server.start(router())
    }

    private fun use(newFaults: EngineFaults, except: HttpConnection?) {
        faults = newFaults
        server.partitionedSources = newFaults.partitionedSources
        if (newFaults.silenceEstablished) server.silenceEstablished(except)
        server.run {
            events.lossShare = newFaults.cacheEventLossShare
            completions.use(newFaults)
        }
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
        completions.mount(router)
        router.get("/load").handler(::reportLoad)
        router.get("/cache-events").handler { context ->
            val from = context.queryParams()["from"]?.toLongOrNull() ?: 0
            context.respond(events.read(from, faults.cacheEventLagMillis))
        }
        router.post("/orders").handler(::order)
        router.get("/orders").handler { it.respond(orders.report()) }
        router.get("/runs").handler { it.respond(runs.report(it.queryParams()["requestId"])) }
        router.post("/crash").handler { crash() }
        router.get("/faults").handler { it.respond(faults) }
        router.put("/faults").handler { context ->
            context.decodeStrictly(EngineFaults.serializer())?.let {
                use(it, except = context.request().connection())
                context.respond(it)
            }
        }
        return router
    }

    private fun reportLoad(context: RoutingContext) {
        val load = scheduler.history.at(monotonicMillis() - faults.loadReportLagMillis)
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

    private fun order(context: RoutingContext) {
        val order = context.decodeStrictly(EngineOrder.serializer()) ?: return
        val isApplied = orders.apply(order)
        context.respond(orders.report(), status = if (isApplied) 200 else 409)
    }

    private companion object {
        const val MAXIMUM_BODY_BYTES = 16_777_216L
    }
}
