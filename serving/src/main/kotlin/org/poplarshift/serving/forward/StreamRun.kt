package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer

/**
 * One streamed request: passes whole events on as they come, and goes on at another worker after the last event that
 * the caller has when the route allows it.
 */
class StreamRun(
    private val call: OnlineCall,
    private val session: AttemptSession,
    private val forwarding: Forwarding,
    private val sink: CallerSink,
) {
    private var isStarted = false
    private var lastEvent = call.resumeAfter
    private var worker = ""

    /** Runs to the end of the stream. */
    suspend fun serve(): OnlineOutcome {
        while (true) {
            val demand =
                SeatDemand(call.service, rank(), waitMillis(), onTimeMillis = OnlineForwarder.onTimeMillis(call))
            when (val result = session.attempt(demand, headMillis(), lastEvent)) {
                is AttemptResult.NotRun -> return giveUp(result.reason, isTimeout = false)
                AttemptResult.Quarantined -> return giveUp(OnlineOutcome.QUARANTINED, isTimeout = false)
                is AttemptResult.MayHaveRun ->
                    if (!mayGoOn()) return giveUp(result.reason, result.isSilence)

                is AttemptResult.Answered -> passOn(result)?.let { return it }
            }
        }
    }

    private suspend fun passOn(answered: AttemptResult.Answered): OnlineOutcome? {
        val attempt = answered.attempt
        worker = attempt.seat.worker.id
        try {
            if (answered.head.status != OK) return passOnFailure(answered)
            if (!isStarted) {
                isStarted = true
                sink.start(OK, forwarding.protocol.answerHeaders(answered.headers))
            }
            val failure = copy(attempt) ?: return OnlineOutcome.Delivered(OK, worker)
            attempt.close()
            session.trace += failure
            return if (mayGoOn()) null else giveUp(failure, isTimeout = session.leftMillis <= 0)
        } finally {
            attempt.close()
        }
    }

    /** Passes events on; null when the stream is complete, otherwise why it is not. */
    private suspend fun copy(attempt: Attempt): String? {
        val splitter = EventSplitter()
        while (true) {
            when (val part = attempt.exchange.next(pauseMillis())) {
                is ResponsePart.Bytes -> {
                    val events = splitter.add(part.bytes)
                    if (events.isNotEmpty()) deliver(events)
                }

                is ResponsePart.Lost -> {
                    session.onLostWithinAnswer(attempt.seat.worker)
                    return part.reason
                }

                ResponsePart.Silence -> return if (session.leftMillis <= 0) "time is up" else "silent within the stream"
                ResponsePart.End -> {
                    if (splitter.hasPartial) sink.write(splitter.takePartial())
                    sink.end()
                    session.onCompleted()
                    return null
                }
            }
        }
    }

    private suspend fun deliver(events: List<StreamEvent>) {
        val bytes = if (events.size == 1) events.first().bytes else joined(events)
        events.lastOrNull { it.id != null }?.let { lastEvent = it.id }
        sink.write(bytes)
    }

    private fun joined(events: List<StreamEvent>): Buffer =
        events.fold(Buffer.buffer()) { joined, event -> joined.appendBuffer(event.bytes) }

    private suspend fun passOnFailure(answered: AttemptResult.Answered): OnlineOutcome? {
        val status = answered.head.status
        val body = answered.attempt.exchange.readAll(session.leftMillis.coerceAtLeast(1), MAXIMUM_FAILURE_BYTES)
        if (status >= FIRST_SERVER_ERROR && mayGoOn()) return null
        val isPromise = status in PROMISES && !call.route.mayRepeat
        if (isStarted || isPromise || body !is BodyResult.Whole) return giveUp("worker_$status", isTimeout = false)
        sink.whole(status, forwarding.protocol.answerHeaders(answered.headers), body.bytes)
        return OnlineOutcome.Delivered(status, worker)
    }

    private fun giveUp(reason: String, isTimeout: Boolean): OnlineOutcome = when {
        isStarted -> OnlineOutcome.Broken(reason)
        session.mayHaveRun == 0 -> OnlineOutcome.Refused(reason)
        else -> OnlineOutcome.Failed(reason, isTimeout)
    }

    private fun mayGoOn(): Boolean =
        call.route.isResumable && session.hasAttemptsLeft && session.leftMillis > OnlineForwarder.SHORTEST_TRY_MILLIS

    private fun waitMillis(): Long = (session.leftMillis * OnlineForwarder.WAIT_PART).toLong()

    // A stream that has begun goes first: its caller sees the pause, and what was delivered would be lost.
    private fun rank(): Int = if (isStarted) Int.MIN_VALUE else call.rank

    private fun canResume(): Boolean = call.route.isResumable && session.mayHaveRun + 1 < call.route.maximumAttempts

    private fun headMillis(): Long = if (canResume()) {
        minOf(
            session.leftMillis,
            maxOf(call.route.targetLatencyMillis * SILENT_TARGETS, SHORTEST_SILENCE_MILLIS),
        )
    } else {
        session.leftMillis
    }

    private fun pauseMillis(): Long {
        val left = session.leftMillis.coerceAtLeast(1)
        val mayResume = call.route.isResumable && session.hasAttemptsLeft
        return if (mayResume) {
            minOf(
                left,
                maxOf(call.route.maximumEventGapMillis * SILENT_PAUSES, SHORTEST_SILENCE_MILLIS),
            )
        } else {
            left
        }
    }

    private companion object {
        const val OK = 200
        const val FIRST_SERVER_ERROR = 500
        val PROMISES = setOf(408, 421, 429, 503)
        const val MAXIMUM_FAILURE_BYTES = 1024 * 1024

        // Callers abandon a stream after four target latencies or eight pauses; a resumed run needs time as well.
        const val SILENT_TARGETS = 3L
        const val SILENT_PAUSES = 3L
        const val SHORTEST_SILENCE_MILLIS = 1_000L
    }
}
