package org.poplarshift.node.caller

import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.abortConnection
import org.poplarshift.node.http.refuse
import org.poplarshift.node.idempotency.LedgerDecision
import org.poplarshift.serving.MonotonicClock
import java.util.UUID

/** Handles a caller's request from its arrival to the end of its response. */
class OnlineHandler(
    private val openRequests: OpenRequests,
    private val runner: OnlineRunner,
    private val metrics: CallerMetrics,
    private val clock: MonotonicClock,
    private val callerIdleMillis: Long,
) {
    /** Refuses a request and counts the refusal. */
    fun refuse(routing: RoutingContext, error: ErrorResponse) {
        metrics.recordRefusal(error.reason)
        routing.refuse(error)
    }

    /**
     * Prepares and runs a request. Must be called in the same event in which the key was checked.
     *
     * @param keyId the key of the caller, or null on an open route
     * @param prepare reads and validates the request; its parameter is the request id
     */
    suspend fun handle(routing: RoutingContext, keyId: String?, prepare: suspend (String) -> PreparedRequest) {
        val requestId = UUID.randomUUID().toString()
        val open = OpenRequest(requestId, keyId, currentCoroutineContext().job)
        val progress = AttemptProgress()
        openRequests.add(open)
        try {
            routing.response().closeHandler { open.end(RefusalReason.CANCELLED) }
            when (val prepared = prepare(requestId)) {
                is PreparedRequest.Rejected -> refuse(routing, prepared.error)
                is PreparedRequest.Ready -> run(routing, prepared.request, open, progress)
            }
        } catch (exception: CancellationException) {
            val reason = open.endReason ?: throw exception
            fail(routing, ErrorResponse(reason, "the request was ended", progress.ran))
        } finally {
            openRequests.remove(open)
        }
    }

    private suspend fun run(
        routing: RoutingContext,
        request: OnlineRequest,
        open: OpenRequest,
        progress: AttemptProgress,
    ) {
        val startedMillis = clock.millis()
        val recorder = request.idempotencyKey?.let { ResponseRecorder(MAXIMUM_RECORDED_BYTES) }
        val sink = CallerSink(
            response = routing.response(),
            requestId = request.requestId,
            idleMillis = callerIdleMillis,
            recorder = recorder,
            onStalled = { routing.abortConnection() },
            onFirstByte = { metrics.recordFirstByte(request.requestClass, clock.millis() - startedMillis) },
        )
        // A request with an idempotency key runs to completion even if the caller disconnects, so that a resend
        // returns the response.
        if (recorder != null) routing.response().closeHandler { sink.onCallerDisconnected() }
        if (routing.response().closed()) open.end(RefusalReason.CANCELLED)
        when (val result = runner.run(request, sink, recorder, progress)) {
            is OnlineResult.Completed -> metrics.recordCompletion(request.requestClass, clock.millis() - startedMillis)
            is OnlineResult.Replayed -> replay(routing, request.requestId, result.response)
            is OnlineResult.Failed -> {
                sink.reset()
                if (!sink.hasForwardedBytes) routing.response().putHeader("X-Request-Id", request.requestId)
                fail(routing, result.error)
            }
        }
    }

    private fun replay(routing: RoutingContext, requestId: String, recorded: LedgerDecision.Replay) {
        val response = routing.response()
        response.statusCode = recorded.status
        response.putHeader("X-Request-Id", requestId)
        response.putHeader("Idempotency-Replayed", "true")
        if (recorded.contentType.isNotEmpty()) response.putHeader("Content-Type", recorded.contentType)
        response.end(recorded.body)
    }

    // A response that has begun can't be replaced by an error. The connection is closed without the final chunk, so
    // that the caller can detect the truncation.
    private fun fail(routing: RoutingContext, error: ErrorResponse) {
        metrics.recordRefusal(error.reason)
        val response = routing.response()
        when {
            response.closed() -> return
            response.headWritten() -> routing.abortConnection()
            else -> routing.refuse(error)
        }
    }

    companion object {
        // A recorded response must fit into one log record.
        private const val MAXIMUM_RECORDED_BYTES = 262_144

        /** Rejects a malformed request with [message]. */
        fun badRequest(message: String) =
            PreparedRequest.Rejected(ErrorResponse(RefusalReason.BAD_REQUEST, message, RunStatus.NOT_RUN))
    }
}
