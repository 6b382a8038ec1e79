package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import org.poplarshift.core.ingress.RouteKind

/** Serves callers' requests with workers. */
class OnlineForwarder(private val forwarding: Forwarding) {
    /** Serves [call] and sends the answer to [sink], unless the outcome says that there is none to send. */
    suspend fun serve(call: OnlineCall, session: AttemptSession, sink: CallerSink): OnlineOutcome =
        if (call.route.kind == RouteKind.STREAM) {
            StreamRun(call, session, forwarding, sink).serve()
        } else {
            servePlain(call, session, sink)
        }

    private suspend fun servePlain(call: OnlineCall, session: AttemptSession, sink: CallerSink): OnlineOutcome {
        while (true) {
            val demand = SeatDemand(call.service, call.rank, waitMillis(session), onTimeMillis = onTimeMillis(call))
            when (val result = session.attempt(demand, headMillis(call, session), resumeAfter = null)) {
                is AttemptResult.NotRun -> return lastResort(session, result.reason)
                AttemptResult.Quarantined -> return lastResort(session, OnlineOutcome.QUARANTINED)
                is AttemptResult.MayHaveRun ->
                    if (!mayTryAgain(call, session)) return OnlineOutcome.Failed(result.reason, result.isSilence)

                is AttemptResult.Answered -> passOn(call, session, result, sink)?.let { return it }
            }
        }
    }

    private suspend fun passOn(
        call: OnlineCall,
        session: AttemptSession,
        answered: AttemptResult.Answered,
        sink: CallerSink,
    ): OnlineOutcome? {
        val attempt = answered.attempt
        val status = answered.head.status
        val body = try {
            attempt.exchange.readAll(session.leftMillis.coerceAtLeast(1), MAXIMUM_ANSWER_BYTES)
        } finally {
            attempt.close()
        }
        return when (body) {
            is BodyResult.Broken -> {
                if (body.isConnectionLost) session.onLostWithinAnswer(attempt.seat.worker)
                broken(call, session, body.reason)
            }

            is BodyResult.Whole -> when {
                status >= FIRST_SERVER_ERROR && mayTryAgain(call, session) -> null
                status in PROMISES && !call.route.mayRepeat -> OnlineOutcome.Failed("worker_$status", isTimeout = false)
                else -> {
                    session.onCompleted()
                    sink.whole(status, answerHeaders(answered.headers), body.bytes)
                    OnlineOutcome.Delivered(status, attempt.seat.worker.id)
                }
            }
        }
    }

    private fun broken(call: OnlineCall, session: AttemptSession, reason: String): OnlineOutcome? {
        session.trace += reason
        if (mayTryAgain(call, session)) return null
        return OnlineOutcome.Failed(reason, isTimeout = session.leftMillis <= 0)
    }

    private fun answerHeaders(headers: MultiMap): MultiMap = forwarding.protocol.answerHeaders(headers)

    private fun mayTryAgain(call: OnlineCall, session: AttemptSession): Boolean =
        call.route.mayRepeat && session.hasAttemptsLeft && session.leftMillis > SHORTEST_TRY_MILLIS

    private fun lastResort(session: AttemptSession, reason: String): OnlineOutcome =
        if (session.mayHaveRun == 0) OnlineOutcome.Refused(reason) else OnlineOutcome.Failed(reason, isTimeout = false)

    private fun waitMillis(session: AttemptSession): Long = (session.leftMillis * WAIT_PART).toLong()

    // While another worker may still answer in time, a silent one gets only a part of what is left.
    private fun headMillis(call: OnlineCall, session: AttemptSession): Long {
        val isLast = !call.route.mayRepeat || session.mayHaveRun + 1 >= call.route.maximumAttempts
        if (isLast) return session.leftMillis
        return maxOf((session.leftMillis * TRY_PART).toLong(), SHORTEST_TRY_MILLIS)
    }

    companion object {
        // A request that has waited longer would probably be answered too late, and its caller needs time elsewhere.
        const val WAIT_PART = 0.4

        // A request that waits until then still has half of the time for its first answer.
        private const val ON_TIME_PART = 0.5

        /** Monotonic milliseconds until which [call] must leave the queue to be on time. */
        fun onTimeMillis(call: OnlineCall): Long =
            call.receivedMillis + (call.route.targetLatencyMillis * ON_TIME_PART).toLong()

        // Leaves a second attempt as much time as the slowest usual answers take.
        const val TRY_PART = 0.6

        // Less time than a worker needs for a usual answer.
        const val SHORTEST_TRY_MILLIS = 100L
        private const val MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
        private const val FIRST_SERVER_ERROR = 500

        // Statuses that promise a caller that the request has not run, which an answer of a worker does not say.
        private val PROMISES = setOf(408, 421, 429, 503)
    }
}
