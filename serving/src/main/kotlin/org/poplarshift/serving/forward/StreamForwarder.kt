package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.VersionRequirement

/**
 * Forwards one streaming request.
 *
 * Complete events are relayed as they are received. When a worker fails and the route is resumable, the stream resumes
 * at another worker after the last event that the caller has received. The outputs of two software versions do not fit
 * together, so the worker must run the version that the stream began with; without one, the response is broken off.
 */
class StreamForwarder(
    private val call: OnlineCall,
    private val session: AttemptSession,
    private val forwarding: ForwardingContext,
    private val sink: CallerSink,
) {
    private var isStreamStarted = false
    private var lastEventId = call.resumeAfter
    private var origin = call.origin
    private var hasDelivered = false
    private var isInvalid = false
    private var worker = ""

    /** Forwards the request until the stream ends or can't be resumed. */
    suspend fun serve(): OnlineOutcome {
        while (true) {
            val request = DispatchRequest(
                call.service,
                priority(),
                queueWaitMillis(),
                onTimeUntilMillis = OnlineForwarder.dispatchDeadlineMillis(call),
                versions = origin?.let { VersionRequirement.Only(it.softwareVersion) } ?: VersionRequirement.Recorded,
            )
            when (val result = session.attempt(request, headTimeoutMillis(), lastEventId)) {
                is AttemptResult.NotRun -> return notRunOutcome(result)
                is AttemptResult.RateExceeded -> return OnlineOutcome.RateExceeded(result.retryMillis)
                AttemptResult.Quarantined -> return failureOutcome(OnlineOutcome.QUARANTINED, isTimeout = false)
                is AttemptResult.MayHaveRun ->
                    if (!canResume()) return failureOutcome(result.reason, result.isTimeout)

                is AttemptResult.Responded -> relay(result)?.let { return it }
            }
        }
    }

    private suspend fun relay(response: AttemptResult.Responded): OnlineOutcome? {
        val attempt = response.attempt
        worker = attempt.target.worker.id
        try {
            if (response.head.status != OK) return relayError(response)
            if (!isStreamStarted) {
                isStreamStarted = true
                sink.startStream(OK, forwarding.protocol.responseHeaders(response.headers))
            }
            if (hasDelivered) forwarding.streamRecorder.onContinued()
            val lastEventIdBefore = lastEventId
            val failure = relayEvents(attempt) ?: return OnlineOutcome.Delivered(OK, worker)
            attempt.close()
            session.onUnusableBody(failure)
            // Another worker can't continue after events that were no response to the request.
            val mayResume = !isInvalid || lastEventId == lastEventIdBefore
            return if (mayResume && canResume()) null else failureOutcome(failure, session.remainingMillis <= 0)
        } finally {
            attempt.close()
        }
    }

    /** Relays events to the caller; returns null when the stream is complete, otherwise the reason why it is not. */
    private suspend fun relayEvents(attempt: Attempt): String? {
        val reader = EventStreamReader(attempt.exchange, forwarding.clock, lastEventId)
        isInvalid = false
        while (true) {
            when (val part = reader.next(eventTimeoutMillis())) {
                is EventStreamPart.Events -> {
                    attempt.run.onEvents(part.events)
                    deliver(part.events, attempt.origin)
                }

                is EventStreamPart.BrokenOff -> {
                    if (part.isConnectionLost) session.onConnectionLostDuringResponse(attempt.target.worker)
                    return part.reason
                }

                is EventStreamPart.Invalid -> {
                    isInvalid = true
                    attempt.target.onConnectionLost()
                    return part.reason
                }

                EventStreamPart.TimedOut -> return silence(attempt)

                EventStreamPart.Complete -> {
                    attempt.run.onCompleted()
                    sink.end()
                    session.onCompleted()
                    return null
                }
            }
        }
    }

    private fun silence(attempt: Attempt): String {
        session.onSilentDuringResponse(attempt.target.worker)
        return if (session.remainingMillis <= 0) "time is up" else "silent within the stream"
    }

    private suspend fun deliver(events: List<StreamEvent>, origin: StreamOrigin) {
        session.onAnswered()
        if (!hasDelivered) onBegun(origin)
        val bytes = if (events.size == 1) events.first().bytes else joined(events)
        events.lastOrNull { it.id != null }?.let { lastEventId = it.id }
        sink.write(bytes)
    }

    private fun onBegun(origin: StreamOrigin) {
        hasDelivered = true
        this.origin = origin
        forwarding.streamOrigins.onBegun(call.streamId, origin)
        if (call.resumesStream) forwarding.streamRecorder.onTakenUp()
    }

    private fun joined(events: List<StreamEvent>): Buffer =
        events.fold(Buffer.buffer()) { joined, event -> joined.appendBuffer(event.bytes) }

    private suspend fun relayError(response: AttemptResult.Responded): OnlineOutcome? {
        val status = response.head.status
        val body = response.attempt.exchange.readAll(session.remainingMillis.coerceAtLeast(1), MAXIMUM_ERROR_BYTES)
        if (status >= FIRST_SERVER_ERROR && canResume()) return null
        val statesNotRun = status in NOT_RUN_STATUSES && !call.route.mayRepeat
        if (isStreamStarted || statesNotRun || body !is BodyResult.Complete) {
            return failureOutcome("worker_$status", isTimeout = false)
        }
        sink.respond(status, forwarding.protocol.responseHeaders(response.headers), body.bytes)
        return OnlineOutcome.Delivered(status, worker)
    }

    private fun notRunOutcome(result: AttemptResult.NotRun): OnlineOutcome {
        val begun = origin
        if (hasDelivered && begun != null) {
            forwarding.streamRecorder.onBrokenOff(call, begun, lastEventId, result.reason)
        }
        return failureOutcome(result.reason, isTimeout = false, result.retryMillis)
    }

    private fun failureOutcome(reason: String, isTimeout: Boolean, retryMillis: Long? = null): OnlineOutcome = when {
        isStreamStarted -> OnlineOutcome.Aborted(reason)
        session.possibleRuns == 0 -> OnlineOutcome.Refused(reason, retryMillis)
        else -> OnlineOutcome.Failed(reason, isTimeout)
    }

    private fun canResume(): Boolean = call.route.isResumable &&
        session.hasAttemptsLeft &&
        session.remainingMillis > OnlineForwarder.MINIMUM_ATTEMPT_MILLIS

    private fun queueWaitMillis(): Long = (session.remainingMillis * OnlineForwarder.QUEUE_WAIT_SHARE).toLong()

    // A started stream takes precedence: its caller notices the pause, and the delivered events would be lost.
    private fun priority(): Int = if (isStreamStarted) Int.MIN_VALUE else call.priority

    private fun canResumeAfterNextAttempt(): Boolean =
        call.route.isResumable && session.possibleRuns + 1 < call.route.maximumAttempts

    private fun headTimeoutMillis(): Long = if (canResumeAfterNextAttempt()) {
        minOf(
            session.remainingMillis,
            maxOf(call.route.targetLatencyMillis * HEAD_TIMEOUT_TARGET_LATENCIES, MINIMUM_TIMEOUT_MILLIS),
        )
    } else {
        session.remainingMillis
    }

    private fun eventTimeoutMillis(): Long {
        val remainingMillis = session.remainingMillis.coerceAtLeast(1)
        val mayResumeElsewhere = call.route.isResumable && session.hasAttemptsLeft
        return if (mayResumeElsewhere) {
            minOf(
                remainingMillis,
                maxOf(call.route.maximumEventGapMillis * EVENT_TIMEOUT_EVENT_GAPS, MINIMUM_TIMEOUT_MILLIS),
            )
        } else {
            remainingMillis
        }
    }

    private companion object {
        const val OK = 200
        const val FIRST_SERVER_ERROR = 500
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        const val MAXIMUM_ERROR_BYTES = 1024 * 1024

        // Callers abandon a stream after four target latencies or after eight times the longest gap. The lower limits
        // leave time for a resumed run at another worker.
        const val HEAD_TIMEOUT_TARGET_LATENCIES = 3L
        const val EVENT_TIMEOUT_EVENT_GAPS = 3L
        const val MINIMUM_TIMEOUT_MILLIS = 1_000L
    }
}
