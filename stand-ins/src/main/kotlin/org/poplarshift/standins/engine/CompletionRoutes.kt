package org.poplarshift.standins.engine

import io.vertx.core.Vertx
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import org.poplarshift.standins.http.RunRecorder
import org.poplarshift.standins.http.StandInServer
import org.poplarshift.standins.http.monotonicMillis
import org.poplarshift.standins.http.respond
import java.util.UUID

/** The completions API of an engine. */
internal class CompletionRoutes(
    private val vertx: Vertx,
    private val server: StandInServer,
    private val scheduler: EngineScheduler,
    private val orderState: EngineOrderState,
    private val recorder: RunRecorder,
) {
    private var faults = EngineFaults()
    private var counters = FaultCounters(faults)

    /** The monotonic time in milliseconds until which requests get 503 because the engine is still starting. */
    var coldUntilMillis = 0L

    /** Adds the completion routes to [router]. */
    fun mount(router: Router) {
        router.post("/v1/chat/completions").handler(::complete)
        router.post("/v1/completions").handler(::complete)
        router.delete("/streams/:id").handler { context ->
            val isFound = scheduler.cancel(context.pathParam("id"))
            context.response().setStatusCode(if (isFound) 200 else 404).end()
        }
    }

    /** Replaces the injected faults and restarts their counters. */
    fun applyFaults(newFaults: EngineFaults) {
        faults = newFaults
        counters = FaultCounters(newFaults)
    }

    private fun complete(context: RoutingContext) {
        if (counters.consumeSilentRequest()) return
        val body = context.body().asString().orEmpty()
        val request = CompletionRequest.decode(body)
        val requestId = context.request().getHeader("X-Request-Id") ?: UUID.randomUUID().toString()
        val refusal = refusal(body, request)
        if (request == null || refusal != null) {
            refuse(context, requestId, refusal ?: Refusal(400, "invalid request"))
            return
        }
        recorder.recordStart(requestId, context.request(), body)
        start(context, request, requestId, isCrashing = faults.crashMarker in body)
    }

    private fun refusal(body: String, request: CompletionRequest?): Refusal? = when {
        faults.refuseRequests -> Refusal(503, "engine does not accept requests")
        monotonicMillis() < coldUntilMillis -> Refusal(503, "engine is starting")
        counters.consumeFailedRequest() -> Refusal(500, "engine failed")
        request == null -> Refusal(400, "a prompt or messages and a positive max_tokens are required")
        !orderState.serves(request.model) -> Refusal(404, "model ${request.model} is not loaded")
        faults.refuseMarker in body -> Refusal(422, "the engine cannot process this prompt")
        else -> null
    }

    private fun refuse(context: RoutingContext, requestId: String, refusal: Refusal) {
        context.response().putHeader("X-Request-Id", requestId)
        if (refusal.status == 503) context.response().putHeader("Retry-After", "1")
        context.respond(EngineError(EngineErrorDetail(refusal.message, "engine_error")), refusal.status)
    }

    private fun start(context: RoutingContext, request: CompletionRequest, requestId: String, isCrashing: Boolean) {
        val connection = context.request().connection()
        val run = EngineRun(
            requestId = requestId,
            prompt = request.promptText.orEmpty(),
            requestedTokens = request.requestedTokens,
            isCrashing = isCrashing,
            output = HttpRunOutput(
                context = context,
                request = request,
                echoedId = if (counters.consumeCrossedResponse()) crossedId(requestId) else requestId,
                faults = faults,
                recorder = recorder,
                isSilent = { server.isSilent(connection) },
            ),
        )
        context.response().closeHandler { scheduler.abort(run) }
        val delayMillis = counters.nextDelayMillis()
        if (delayMillis <= 0) scheduler.submit(run) else vertx.setTimer(delayMillis) { scheduler.submit(run) }
    }

    private fun crossedId(requestId: String) = scheduler.findOtherRequestId(requestId) ?: "other-than-$requestId"

    private data class Refusal(val status: Int, val message: String)
}
