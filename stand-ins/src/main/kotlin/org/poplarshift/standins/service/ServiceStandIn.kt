package org.poplarshift.standins.service

import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import io.vertx.ext.web.handler.BodyHandler
import kotlinx.serialization.Serializable
import org.poplarshift.standins.StandIn
import org.poplarshift.standins.http.LoadHistory
import org.poplarshift.standins.http.LoadReport
import org.poplarshift.standins.http.RunRecorder
import org.poplarshift.standins.http.StandInServer
import org.poplarshift.standins.http.decodeStrictly
import org.poplarshift.standins.http.monotonicMillis
import org.poplarshift.standins.http.respond
import java.util.UUID

/** Simulates one plain service. It accepts any method and path and counts the runs of each request. */
class ServiceStandIn(private val vertx: Vertx, private val settings: ServiceSettings) : StandIn {
    private val server = StandInServer(vertx, settings.host, settings.port)
    private val loadHistory = LoadHistory()
    private var running = 0
    private var lostResponsesLeft = 0
    private var silentResponsesLeft = 0
    private var crossedResponsesLeft = 0
    private var failedRequestsLeft = 0

    /** The runs of all requests. */
    val runs = RunRecorder()

    /** The faults that are currently injected. */
    @Volatile
    var faults: ServiceFaults = settings.faults
        private set

    override val name = "service ${settings.worker}"

    override val port: Int
        get() = server.port

    override suspend fun start() {
        server.start(router())
        applyFaults(settings.faults)
    }

    override suspend fun stop() = server.stop()

    /** Replaces the injected faults, as `PUT /faults` does. */
    fun applyFaults(newFaults: ServiceFaults) = applyFaults(newFaults, except = null)

    private fun applyFaults(newFaults: ServiceFaults, except: HttpConnection?) {
        faults = newFaults
        server.partitionedSources = newFaults.partitionedSources
        if (newFaults.silenceEstablished) server.silenceEstablished(except)
        server.run {
            lostResponsesLeft = newFaults.lostNextResponses
            silentResponsesLeft = newFaults.silentNextResponses
            crossedResponsesLeft = newFaults.crossNextResponses
            failedRequestsLeft = newFaults.failNextRequests
        }
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.get("/load").handler(::reportLoad)
        router.get("/runs").handler { it.respond(runs.report(it.queryParams()["requestId"])) }
        router.get("/faults").handler { it.respond(faults) }
        router.put("/faults").handler { context ->
            context.decodeStrictly(ServiceFaults.serializer())?.let {
                applyFaults(it, except = context.request().connection())
                context.respond(it)
            }
        }
        router.route().handler(::handleRequest)
        return router
    }

    private fun handleRequest(context: RoutingContext) {
        if (faults.outage.intercepts(context)) return
        val requestId = context.request().getHeader("X-Request-Id") ?: UUID.randomUUID().toString()
        val run = runs.recordStart(requestId, context.request(), context.body().asString().orEmpty())
        updateLoad(+1)
        vertx.setTimer(maxOf(1, settings.runMillis)) {
            updateLoad(-1)
            runs.recordFinish(requestId)
            val delayMillis = faults.responseDelayMillis
            if (delayMillis <=
                0
            ) {
                sendResponse(context, requestId, run)
            } else {
                vertx.setTimer(delayMillis) { sendResponse(context, requestId, run) }
            }
        }
    }

    private fun sendResponse(context: RoutingContext, requestId: String, run: Int) {
        val connection = context.request().connection()
        if (server.isSilent(connection) || context.response().closed()) return
        if (silentResponsesLeft > 0) {
            silentResponsesLeft--
            return
        }
        if (lostResponsesLeft > 0) {
            lostResponsesLeft--
            connection.close()
            return
        }
        val isCrossed = crossedResponsesLeft > 0
        if (isCrossed) crossedResponsesLeft--
        val isFailed = failedRequestsLeft > 0
        if (isFailed) failedRequestsLeft--
        val echoedId = if (isCrossed) "other-than-$requestId" else requestId
        context.response().putHeader("X-Request-Id", echoedId)
        val request = context.request()
        val body = EchoBody(settings.worker, request.method().name(), request.path(), echoedId, run)
        context.respond(body, status = if (isFailed) faults.failStatus else 200)
    }

    private fun updateLoad(change: Int) {
        running += change
        loadHistory.record(monotonicMillis(), running, 0)
    }

    private fun reportLoad(context: RoutingContext) {
        val load = loadHistory.at(monotonicMillis() - faults.loadReportLagMillis)
        context.respond(
            LoadReport(settings.worker, load.running, load.waiting, settings.capacity, leaving = faults.leaving),
        )
    }
}

/**
 * The response body of a plain service.
 *
 * @property run the number of runs started for this request, including this one
 */
@Serializable
data class EchoBody(val worker: String, val method: String, val path: String, val requestId: String, val run: Int)
