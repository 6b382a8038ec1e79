package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import org.poplarshift.core.ingress.RouteKind

/** Serves callers' requests with workers. */
class OnlineForwarder(private val forwarding: ForwardingContext) {
    /** Serves [call] and sends the answer to [sink], unless the outcome says that there is none to send. */
    suspend fun serve(call: OnlineCall, session: AttemptSession, sink: CallerSink): OnlineOutcome =
        if (call.route.kind == RouteKind.STREAM) {
            StreamForwarder(call, session, forwarding, sink).serve()
        } else {
            serveBuffered(call, session, sink)
        }

    private suspend fun serveBuffered(call: OnlineCall, session: AttemptSession, sink: CallerSink): OnlineOutcome {
        while (true) {
            val request = DispatchRequest(
                call.service,
                call.priority,
                queueWaitMillis(session),
                dispatchDeadlineMillis = dispatchDeadlineMillis(call),
            )
            when (val result = session.attempt(request, headTimeoutMillis(call, session), resumeAfter = null)) {
                is AttemptResult.NotRun -> return notRunOutcome(session, result.reason)
                AttemptResult.Quarantined -> return notRunOutcome(session, OnlineOutcome.QUARANTINED)
                is AttemptResult.MayHaveRun ->
                    if (!canRetry(call, session)) return OnlineOutcome.Failed(result.reason, result.isTimeout)

                is AttemptResult.Responded -> relay(call, session, result, sink)?.let { return it }
            }
        }
    }

    private suspend fun relay(
        call: OnlineCall,
        session: AttemptSession,
        response: AttemptResult.Responded,
        sink: CallerSink,
    ): OnlineOutcome? {
        val attempt = response.attempt
        val status = response.head.status
        val body = try {
            attempt.exchange.readAll(session.remainingMillis.coerceAtLeast(1), MAXIMUM_RESPONSE_BYTES)
        } finally {
            attempt.close()
        }
        return when (body) {
            is BodyResult.Incomplete -> {
                if (body.isConnectionLost) session.onConnectionLostDuringResponse(attempt.target.worker)
                onIncompleteBody(call, session, body.reason)
            }

            is BodyResult.Complete -> when {
                status >= FIRST_SERVER_ERROR && canRetry(call, session) -> null
                status in NOT_RUN_STATUSES && !call.route.mayRepeat ->
                    OnlineOutcome.Failed("worker_$status", isTimeout = false)

                else -> {
                    session.onCompleted()
                    sink.respond(status, responseHeaders(response.headers), body.bytes)
                    OnlineOutcome.Delivered(status, attempt.target.worker.id)
                }
            }
        }
    }

    private fun onIncompleteBody(call: OnlineCall, session: AttemptSession, reason: String): OnlineOutcome? {
        session.trace += reason
        if (canRetry(call, session)) return null
        return OnlineOutcome.Failed(reason, isTimeout = session.remainingMillis <= 0)
    }

    private fun responseHeaders(headers: MultiMap): MultiMap = forwarding.protocol.responseHeaders(headers)

    private fun canRetry(call: OnlineCall, session: AttemptSession): Boolean =
        call.route.mayRepeat && session.hasAttemptsLeft && session.remainingMillis > MINIMUM_ATTEMPT_MILLIS

    private fun notRunOutcome(session: AttemptSession, reason: String): OnlineOutcome = if (session.possibleRuns == 0) {
        OnlineOutcome.Refused(reason)
    } else {
        OnlineOutcome.Failed(reason, isTimeout = false)
    }

    private fun queueWaitMillis(session: AttemptSession): Long = (session.remainingMillis * QUEUE_WAIT_SHARE).toLong()

    // While another worker may still answer in time, a silent one gets only a part of what is left.
    private fun headTimeoutMillis(call: OnlineCall, session: AttemptSession): Long {
        val isLastAttempt = !call.route.mayRepeat || session.possibleRuns + 1 >= call.route.maximumAttempts
        if (isLastAttempt) return session.remainingMillis
        return maxOf((session.remainingMillis * HEAD_TIMEOUT_SHARE).toLong(), MINIMUM_ATTEMPT_MILLIS)
    }

    companion object {
        // A request that has waited longer would probably be answered too late, and its caller needs time elsewhere.
        const val QUEUE_WAIT_SHARE = 0.4

        // A request that waits until then still has half of the time for its first answer.
        private const val DISPATCH_DEADLINE_SHARE = 0.5

        /** Monotonic milliseconds until which [call] must leave the queue to be on time. */
        fun dispatchDeadlineMillis(call: OnlineCall): Long =
            call.receivedMillis + (call.route.targetLatencyMillis * DISPATCH_DEADLINE_SHARE).toLong()

        // Leaves a second attempt as much time as the slowest usual answers take.
        const val HEAD_TIMEOUT_SHARE = 0.6

        // Less time than a worker needs for a usual answer.
        const val MINIMUM_ATTEMPT_MILLIS = 100L
        private const val MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024
        private const val FIRST_SERVER_ERROR = 500

        // Statuses that promise a caller that the request has not run, which an answer of a worker does not say.
        private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
