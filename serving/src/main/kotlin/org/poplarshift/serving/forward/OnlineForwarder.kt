package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import org.poplarshift.core.ingress.RouteKind

/** Forwards callers' online requests to workers and relays the responses. */
class OnlineForwarder(private val forwarding: ForwardingContext) {
    /**
     * Forwards [call] and writes the response to [sink].
     *
     * Nothing is written when the outcome is [OnlineOutcome.Refused] or [OnlineOutcome.Failed].
     */
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
                onTimeUntilMillis = dispatchDeadlineMillis(call),
            )
            when (val result = session.attempt(request, headTimeoutMillis(call, session), resumeAfter = null)) {
                is AttemptResult.NotRun -> return notRunOutcome(session, result.reason, result.retryMillis)
                is AttemptResult.RateExceeded -> return OnlineOutcome.RateExceeded(result.retryMillis)
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
            attempt.exchange.readAll(session.remainingMillis.coerceAtLeast(1), MAXIMUM_RESPONSE_BYTES).also {
                if (it is BodyResult.Complete && status in SUCCESS_STATUSES) attempt.run.onCompleted()
            }
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
                    recordAnswer(session, status)
                    sink.respond(status, responseHeaders(response.headers), body.bytes)
                    OnlineOutcome.Delivered(status, attempt.target.worker.id)
                }
            }
        }
    }

    private fun recordAnswer(session: AttemptSession, status: Int) {
        if (status in SUCCESS_STATUSES) session.onAnswered()
        session.onCompleted()
    }

    private fun onIncompleteBody(call: OnlineCall, session: AttemptSession, reason: String): OnlineOutcome? {
        session.onUnusableBody(reason)
        if (canRetry(call, session)) return null
        return OnlineOutcome.Failed(reason, isTimeout = session.remainingMillis <= 0)
    }

    private fun responseHeaders(headers: MultiMap): MultiMap = forwarding.protocol.responseHeaders(headers)

    private fun canRetry(call: OnlineCall, session: AttemptSession): Boolean =
        call.route.mayRepeat && session.hasAttemptsLeft && session.remainingMillis > MINIMUM_ATTEMPT_MILLIS

    private fun notRunOutcome(session: AttemptSession, reason: String, retryMillis: Long? = null): OnlineOutcome =
        if (session.possibleRuns == 0) {
            OnlineOutcome.Refused(reason, retryMillis)
        } else {
            OnlineOutcome.Failed(reason, isTimeout = false)
        }

    private fun queueWaitMillis(session: AttemptSession): Long = (session.remainingMillis * QUEUE_WAIT_SHARE).toLong()

    // Reserves part of the remaining time for another attempt when the worker does not respond.
    private fun headTimeoutMillis(call: OnlineCall, session: AttemptSession): Long {
        val isLastAttempt = !call.route.mayRepeat || session.possibleRuns + 1 >= call.route.maximumAttempts
        if (isLastAttempt) return session.remainingMillis
        return maxOf((session.remainingMillis * HEAD_TIMEOUT_SHARE).toLong(), MINIMUM_ATTEMPT_MILLIS)
    }

    companion object {
        // After a longer wait the response would probably be late, and the caller needs time to try another node.
        const val QUEUE_WAIT_SHARE = 0.4

        // Leaves half of the target latency for the worker's first response.
        private const val DISPATCH_DEADLINE_SHARE = 0.5

        /** Latest monotonic time in milliseconds at which dispatching [call] can still meet its target latency. */
        fun dispatchDeadlineMillis(call: OnlineCall): Long =
            call.receivedMillis + (call.route.targetLatencyMillis * DISPATCH_DEADLINE_SHARE).toLong()

        // The slowest usual responses take as long as the remainder, so that a second attempt can still succeed.
        const val HEAD_TIMEOUT_SHARE = 0.6

        // Workers need more than this for a usual response, so that a shorter attempt would be pointless.
        const val MINIMUM_ATTEMPT_MILLIS = 100L
        private const val MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024
        private val SUCCESS_STATUSES = 200..299
        private const val FIRST_SERVER_ERROR = 500

        // To callers these statuses mean that the request was not run. A worker's response does not guarantee that.
        private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
    }
}
