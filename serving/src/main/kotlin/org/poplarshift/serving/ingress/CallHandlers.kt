package org.poplarshift.serving.ingress

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.ConfigurationHolder
import org.poplarshift.serving.forward.AttemptPlan
import org.poplarshift.serving.forward.AttemptSession
import org.poplarshift.serving.forward.CallerSink
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.forward.OnlineCall
import org.poplarshift.serving.forward.OnlineForwarder
import org.poplarshift.serving.forward.OnlineOutcome
import org.poplarshift.serving.observe.CallRecord
import org.poplarshift.serving.submission.SubmissionService

/** Handles decoded calls. Each handler returns the refusal to send, or null when the response has been sent. */
class CallHandlers(
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val forwarding: ForwardingContext,
    private val submissions: SubmissionService,
    private val random: () -> Double = Math::random,
) {
    private val forwarder = OnlineForwarder(forwarding)

    /** Returns the refusal that follows from the head of a request alone, or null. */
    fun judge(operation: CallerOperation, record: CallRecord): Refusal? {
        val current = configuration.current ?: return Refusal.NO_CONFIGURATION
        record.configurationVersion = current.version
        val organisation = current.findOrganisation(operation.head.key)
        record.organisation = organisation?.name
        if (operation is CallerOperation.Malformed) return Refusal.BAD_REQUEST
        if (operation !is CallerOperation.Request) return requireKnownKey(current, organisation)
        val route = current.findRoute(operation.head.host, operation.head.path) ?: return Refusal.UNKNOWN_ROUTE
        record.route = route.name
        if (!route.isPublic) requireKnownKey(current, organisation)?.let { return it }
        return if (operation.head.requestId == null) Refusal.BAD_REQUEST else null
    }

    /** Authorises and handles [incoming], writes the response to [sink] and the outcome to [record]. */
    suspend fun handle(incoming: IncomingCall, sink: HttpCallerSink, record: CallRecord): Refusal? {
        val current = configuration.current ?: return Refusal.NO_CONFIGURATION
        record.configurationVersion = current.version
        val organisation = current.findOrganisation(incoming.operation.head.key)
        record.organisation = organisation?.name
        return when (val operation = incoming.operation) {
            is CallerOperation.Malformed -> Refusal.BAD_REQUEST
            is CallerOperation.Request -> handleRequest(incoming, current, organisation, sink, record)
            is CallerOperation.ReadResults -> requireKnownKey(current, organisation)
                ?: submissions.read(operation, organisation, sink, record)
            is CallerOperation.ReadItem -> requireKnownKey(current, organisation)
                ?: submissions.readItem(operation, organisation, sink, record)
            is CallerOperation.EndSubmission -> requireKnownKey(current, organisation)
                ?: submissions.end(operation, organisation, sink, record)
        }
    }

    private fun requireKnownKey(current: IngressConfiguration, organisation: IngressOrganisation?): Refusal? =
        if (current.requiresKeys && organisation == null) Refusal.UNKNOWN_KEY else null

    private suspend fun handleRequest(
        incoming: IncomingCall,
        current: IngressConfiguration,
        organisation: IngressOrganisation?,
        sink: HttpCallerSink,
        record: CallRecord,
    ): Refusal? {
        val head = incoming.operation.head
        val route = current.findRoute(head.host, head.path) ?: return Refusal.UNKNOWN_ROUTE
        record.route = route.name
        if (!route.isPublic) requireKnownKey(current, organisation)?.let { return it }
        val id = head.requestId ?: return Refusal.BAD_REQUEST
        if (route.kind == RouteKind.BATCH) return submissions.submit(id, route, organisation, incoming, sink, record)
        val allowedRegions = current.allowedRegions(route, organisation?.name)
        return forward(onlineCall(id, route, organisation, incoming, record, allowedRegions), sink, record)
    }

    private fun onlineCall(
        id: String,
        route: IngressRoute,
        organisation: IngressOrganisation?,
        incoming: IncomingCall,
        record: CallRecord,
        allowedRegions: Set<String>?,
    ): OnlineCall {
        val timeoutMillis = incoming.operation.head.timeoutMillis ?: route.timeoutMillis
        return OnlineCall(
            id = id,
            route = route,
            service = route.chooseService(random()).orEmpty(),
            organisation = organisation?.name,
            method = incoming.method,
            uri = incoming.uri,
            headers = incoming.headers,
            body = incoming.body,
            receivedMillis = record.receivedMillis,
            deadlineMillis = record.receivedMillis + minOf(timeoutMillis, route.timeoutMillis),
            priority = organisation?.priority ?: route.priority,
            resumeAfter = incoming.operation.head.resumeAfter,
            resumedRequestId = incoming.operation.head.resumedRequestId,
            isRateLimited = organisation != null && organisation.ratePerSecond > 0,
            allowedRegions = allowedRegions,
        )
    }

    private suspend fun forward(call: OnlineCall, sink: HttpCallerSink, record: CallRecord): Refusal? {
        if (!call.resumesStream) return serve(call, sink, record)
        val origin = untilDeadline(call, record) {
            forwarding.streamOrigins.find(call.resumedRequestId, call.route.services)
        }
        if (record.isStopped) return Refusal.SHUTTING_DOWN
        if (origin == null || origin.service !in call.route.services) {
            forwarding.streamRecorder.onRefused(call, origin, Refusal.UNKNOWN_STREAM_ORIGIN.reason)
            return Refusal.UNKNOWN_STREAM_ORIGIN
        }
        return serve(call.copy(service = origin.service, origin = origin), sink, record)
    }

    private suspend fun serve(call: OnlineCall, sink: HttpCallerSink, record: CallRecord): Refusal? {
        val session = AttemptSession(planOf(call), forwarding)
        record.attempts = session.trace
        record.promptParts = session.sharedPromptParts
        val outcome = try {
            untilDeadline(call, record) { forwarder.serve(call, session, sink) }
        } finally {
            record.waitedMillis = session.waitedMillis
            record.hasUnusableResponse = session.hasUnusableResponse
        }
        val reason = if (record.isStopped) Refusal.SHUTTING_DOWN.reason else "time is up"
        val refusal = conclude(outcome ?: interrupted(reason, sink, session), sink, record)
        if (call.resumesStream && refusal != null) {
            forwarding.streamRecorder.onRefused(call, call.origin, refusal.reason)
        }
        return refusal
    }

    /** Returns what [action] returns, or null if the deadline of [call] or the shutdown of the node has ended it. */
    private suspend fun <T> untilDeadline(call: OnlineCall, record: CallRecord, action: suspend () -> T): T? = try {
        withTimeoutOrNull((call.deadlineMillis - clock.millis()).coerceAtLeast(1)) { action() }
    } catch (exception: CancellationException) {
        if (!record.isStopped) throw exception
        null
    }

    private fun planOf(call: OnlineCall): AttemptPlan {
        val attempts = if (call.route.mayRepeat) call.route.maximumAttempts else 1
        return AttemptPlan(
            id = call.id,
            service = call.service,
            organisation = call.organisation,
            method = call.method,
            uri = call.uri,
            headers = call.headers,
            body = call.body,
            deadlineMillis = call.deadlineMillis,
            maximumAttempts = attempts,
            mayRepeat = call.route.mayRepeat,
            route = call.route.name,
            isRateLimited = call.isRateLimited,
            allowedRegions = call.allowedRegions,
        )
    }

    private fun interrupted(reason: String, sink: HttpCallerSink, session: AttemptSession): OnlineOutcome = when {
        sink.status != null -> OnlineOutcome.Aborted(reason)
        session.possibleRuns == 0 && !session.isInFlight -> OnlineOutcome.Refused(reason)
        else -> OnlineOutcome.Failed(reason, isTimeout = true)
    }

    private fun conclude(outcome: OnlineOutcome, sink: HttpCallerSink, record: CallRecord): Refusal? = when (outcome) {
        is OnlineOutcome.Delivered -> {
            record.end("delivered")
            null
        }

        is OnlineOutcome.Aborted -> {
            record.end("broken: ${outcome.reason}")
            sink.abort()
            null
        }

        is OnlineOutcome.Refused ->
            if (outcome.reason == OnlineOutcome.QUARANTINED) {
                Refusal.QUARANTINED
            } else {
                Refusal.workersUnavailable(outcome.reason, outcome.retryMillis)
            }

        is OnlineOutcome.RateExceeded -> Refusal.rateExceeded(outcome.retryMillis)

        is OnlineOutcome.Failed -> Refusal(if (outcome.isTimeout) GATEWAY_TIMEOUT else BAD_GATEWAY, outcome.reason)
    }

    companion object {
        private const val BAD_GATEWAY = 502
        private const val GATEWAY_TIMEOUT = 504

        /** Sends a complete response with [status] and [body]. */
        fun respond(sink: CallerSink, status: Int, body: Buffer, contentType: String?) {
            val headers = MultiMap.caseInsensitiveMultiMap()
            contentType?.let { headers.add("Content-Type", it) }
            sink.respond(status, headers, body)
        }
    }
}
