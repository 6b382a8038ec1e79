package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.RequestSize
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.core.stream.VersionRequirement
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.AttemptResult.Companion.NO_WORKER
import org.poplarshift.serving.quarantine.WorkerRun
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/** Sends one request to workers until one of them responds, and counts the attempts that may have run it. */
class AttemptSession(private val plan: AttemptPlan, private val forwarding: ForwardingContext) {
    private val clock: MonotonicClock = forwarding.clock
    private val excludedWorkers = HashSet<String>()
    private var sentMillis = 0L
    private var headMillis = 0L
    private var connectionLabel = ""
    private var isAnswered = false
    private var isResumed = false
    private var hasToken = false

    /** Number of attempts after which a worker may have run the request. */
    var possibleRuns = 0
        private set

    /** Whether an attempt is in progress, so that a worker may be running the request. */
    var isInFlight = false
        private set

    /** Total time in milliseconds that the request has waited at this node for a free slot. */
    var waitedMillis = 0L
        private set

    /**
     * Outcomes of the attempts so far, for the log.
     *
     * `i-7afd:200@17#3+35` is a response with status 200 of the worker `i-7afd` on the connection with the number 17,
     * which had carried 3 requests before. The body ended 35 ms after the head.
     */
    val trace = ArrayList<String>()

    /** Whether the request was sent to a worker whose response was missing, incomplete or not usable. */
    var hasUnusableResponse = false
        private set

    /** Ids of the parts of the prompt that other requests may have in common with this one. */
    val sharedPromptParts: List<String> by lazy(LazyThreadSafetyMode.NONE) {
        forwarding.protocol.sharedPromptParts(plan.headers)
    }

    private val size: RequestSize? by lazy(LazyThreadSafetyMode.NONE) { forwarding.protocol.requestSize(plan.headers) }

    /** Whether the maximum number of attempts has not been reached. */
    val hasAttemptsLeft: Boolean
        get() = possibleRuns < plan.maximumAttempts

    /** Milliseconds until the deadline. */
    val remainingMillis: Long
        get() = plan.deadlineMillis - clock.millis()

    /**
     * Sends the request to a worker, and to another one when a worker can't be reached or has not run the request.
     *
     * @param request requirements for the worker; workers of earlier attempts are excluded as well
     * @param headTimeoutMillis maximum time to wait for the response head
     * @param resumeAfter id of the last event of an earlier run after which the stream resumes, or null
     */
    suspend fun attempt(request: DispatchRequest, headTimeoutMillis: Long, resumeAfter: Long?): AttemptResult =
        attempt(request, headTimeoutMillis) { resumeAfter }

    /**
     * Sends the request as the other function does, with a stream that may be resumed at some workers only.
     *
     * @param resumeAfter returns the id of the event after which the stream resumes at a worker, or null if it begins
     *   anew there; called before the request is sent to the worker
     */
    suspend fun attempt(
        request: DispatchRequest,
        headTimeoutMillis: Long,
        resumeAfter: (FleetWorker) -> Long?,
    ): AttemptResult {
        if (isRefused()) return AttemptResult.Quarantined
        val waitDeadlineMillis = clock.millis() + request.waitMillis
        var refusals = 0
        while (true) {
            val slot = when (val result = acquire(request, waitDeadlineMillis)) {
                is DispatchResult.Assigned -> result.slot
                DispatchResult.NoWorker -> return notAssigned(if (refusals > 0) "workers_full" else NO_WORKER)
                is DispatchResult.NoCapacity -> return notAssigned("no_room", result.retryMillis)
                is DispatchResult.RateExceeded -> return rateExceeded(result.retryMillis)
            }
            if (isRefused()) {
                forwarding.dispatcher.release(slot, SlotOutcome.UNUSED)
                return AttemptResult.Quarantined
            }
            sentMillis = clock.millis()
            isAnswered = false
            val result = sendTo(slot, headTimeoutMillis, request.versions, resumeAfter)
            if (result !is AttemptResult.NotRun) return result
            refusals++
            if (remainingMillis <= 0 || refusals >= MAXIMUM_REFUSALS) return result
        }
    }

    private val isQuarantined: Boolean
        get() = !forwarding.crashTracker.isEmpty &&
            forwarding.crashTracker.statusOf(plan.fingerprint) == SuspectStatus.Quarantined

    /** Records that the connection to [worker] was lost before the response was complete. */
    fun onConnectionLostDuringResponse(worker: FleetWorker) = recordConnectionLoss(worker)

    /** Records that [worker] has stopped sending its response. */
    fun onSilentDuringResponse(worker: FleetWorker) = forwarding.connections.doubts.add(worker.id)

    /** Records that the worker of the current attempt has begun to write its response. */
    fun onAnswered() {
        if (isAnswered) return
        isAnswered = true
        forwarding.crashTracker.onAnswered(sharedPromptParts)
    }

    /** Records that the body of the latest response can't be used, for [reason]. */
    fun onUnusableBody(reason: String) {
        hasUnusableResponse = true
        trace += reason
    }

    /** Records that a complete response was received. */
    fun onCompleted() {
        if (trace.isNotEmpty()) trace[trace.lastIndex] += "+${clock.millis() - headMillis}"
        if (!forwarding.crashTracker.isEmpty) forwarding.crashTracker.onCompleted(plan.fingerprint)
    }

    // Checked again after the request has waited for a slot, because other nodes may have learned of crashes meanwhile.
    private fun isRefused(): Boolean {
        if (!plan.mayCrashWorkers) return false
        val blamedParts = forwarding.crashTracker.blamedParts(sharedPromptParts)
        if (blamedParts.isEmpty() && !isQuarantined) return false
        trace += "quarantined(${blamedParts.joinToString("+") { "part $it" }.ifEmpty { plan.fingerprint }})"
        return true
    }

    private suspend fun acquire(request: DispatchRequest, waitDeadlineMillis: Long): DispatchResult {
        val startMillis = clock.millis()
        val dispatchRequest = request.copy(
            excludedWorkers = excludedWorkers + request.excludedWorkers,
            waitMillis = minOf(waitDeadlineMillis, plan.deadlineMillis) - startMillis,
            organisation = plan.organisation,
            needsToken = plan.isRateLimited && !hasToken,
            route = plan.route,
            size = size,
            allowedRegions = plan.allowedRegions,
        )
        return forwarding.dispatcher.acquire(dispatchRequest).also {
            waitedMillis += clock.millis() - startMillis
            if (it is DispatchResult.Assigned) hasToken = true
        }
    }

    private fun recordConnectionLoss(worker: FleetWorker) {
        forwarding.connections.doubts.add(worker.id)
        forwarding.crashTracker.onConnectionLost(workerRun(worker))
    }

    private fun workerRun(worker: FleetWorker) = WorkerRun(
        fingerprint = plan.fingerprint,
        worker = "${worker.id}/${worker.startedMillis}",
        requestId = plan.id,
        promptParts = sharedPromptParts,
        sentMillis = sentMillis,
        hasBegun = isAnswered,
        isSuspect = plan.mayCrashWorkers,
    )

    private fun rateExceeded(retryMillis: Long): AttemptResult {
        notAssigned("rate")
        return AttemptResult.RateExceeded(retryMillis)
    }

    private fun notAssigned(reason: String, retryMillis: Long? = null): AttemptResult {
        trace += "$reason(${forwarding.dispatcher.describe(plan.service)})"
        return AttemptResult.NotRun(reason, retryMillis)
    }

    private suspend fun sendTo(
        slot: AssignedSlot,
        headTimeoutMillis: Long,
        versions: VersionRequirement,
        resumeAfter: (FleetWorker) -> Long?,
    ): AttemptResult {
        val target = slot.target
        var isAttemptOpen = false
        var outcome = SlotOutcome.USED
        var connection: WorkerConnection? = null
        try {
            connection = connectTo(target.worker)
            val after = resumeAfter(target.worker)
            if (connection == null || !isOfVersion(slot, connection, versions, after)) {
                outcome = if (connection == null) SlotOutcome.UNREACHABLE else SlotOutcome.UNUSED
                return notSent(target, isConnected = connection != null)
            }
            val exchange = WorkerExchange(connection, forwarding)
            isInFlight = true
            val exchangeResult = exchange.send(
                outgoingRequest(target, after),
                minOf(headTimeoutMillis, remainingMillis).coerceAtLeast(1),
            )
            outcome = exchangeResult.slotOutcome()
            val result = classify(slot, exchange, connection, exchangeResult)
            isInFlight = false
            isAttemptOpen = result is AttemptResult.Responded
            return result
        } finally {
            if (!isAttemptOpen) {
                if (connection != null && !connection.isIdle) connection.close()
                forwarding.dispatcher.release(slot, outcome)
            }
        }
    }

    /**
     * Whether [connection] leads to a process of the version that the worker had when [slot] was assigned.
     *
     * At a worker that does not state its start, streams begin, and go on unless it may just have restarted.
     */
    private suspend fun isOfVersion(
        slot: AssignedSlot,
        connection: WorkerConnection,
        versions: VersionRequirement,
        resumeAfter: Long?,
    ): Boolean {
        if (versions == VersionRequirement.Any) return !slot.mayHaveOtherVersion
        val worker = slot.target.worker
        val isCritical = resumeAfter != null || forwarding.streamOrigins.hasSeveralVersions(worker.service)
        val isRegistered = when (forwarding.starts.verify(connection, worker, isCritical, remainingMillis)) {
            WorkerStart.Registered -> true
            WorkerStart.Other, WorkerStart.NoAnswer -> false
            WorkerStart.NotStated -> resumeAfter == null || forwarding.starts.isRegistryLaterThanDoubt(worker)
        }
        // The registry may have changed meanwhile.
        return isRegistered && !slot.mayHaveOtherVersion
    }

    private fun notSent(target: WorkerState, isConnected: Boolean): AttemptResult {
        if (isConnected) return notRunAt(target, "version_changed")
        forwarding.prober.markUnreachable(target)
        return notRunAt(target, "connect_failed")
    }

    private suspend fun connectTo(worker: FleetWorker): WorkerConnection? {
        val connection = forwarding.connections.acquire(worker, plan.id, plan.mayRepeat)
        connectionLabel = connection?.let { "@${it.number}#${it.sentRequests}" }.orEmpty()
        return connection
    }

    private fun ExchangeResult.slotOutcome(): SlotOutcome = when (this) {
        is ExchangeResult.ConnectionLost, is ExchangeResult.MalformedResponse, ExchangeResult.TimedOut ->
            SlotOutcome.UNREACHABLE
        is ExchangeResult.ForeignResponse, is ExchangeResult.InvalidStatus -> SlotOutcome.USED
        is ExchangeResult.Response -> when {
            !head.hasNotRun -> SlotOutcome.USED
            head.status == HTTP_UNAVAILABLE -> SlotOutcome.FULL
            else -> SlotOutcome.UNREACHABLE
        }
    }

    private suspend fun classify(
        slot: AssignedSlot,
        exchange: WorkerExchange,
        connection: WorkerConnection,
        result: ExchangeResult,
    ): AttemptResult = when (result) {
        is ExchangeResult.ConnectionLost -> {
            slot.target.onConnectionLost()
            recordConnectionLoss(slot.target.worker)
            mayHaveRunAt(slot.target, result.reason, isTimeout = false)
        }

        is ExchangeResult.InvalidStatus -> {
            if (slot.target.onInvalidStatus()) forwarding.prober.ejectUnlessNeeded(slot.target)
            mayHaveRunAt(slot.target, result.reason, isTimeout = false)
        }

        // Not counted as a crash of the worker, which is still there.
        is ExchangeResult.UnusableResponse -> {
            forwarding.connections.onUnusableResponse(slot.target.worker.id)
            slot.target.onConnectionLost()
            mayHaveRunAt(slot.target, result.reason, isTimeout = false)
        }

        ExchangeResult.TimedOut -> {
            forwarding.prober.markUnreachable(slot.target)
            mayHaveRunAt(slot.target, "silent", isTimeout = true)
        }

        is ExchangeResult.Response -> classifyResponse(slot, exchange, connection, result)
    }

    private suspend fun classifyResponse(
        slot: AssignedSlot,
        exchange: WorkerExchange,
        connection: WorkerConnection,
        result: ExchangeResult.Response,
    ): AttemptResult {
        val head = result.head
        head.requestsAtWorker?.let { slot.target.onLoadReport(it, clock.millis()) }
        forwarding.dispatcher.onRateLimit(slot, head.requestsPerSecond)
        head.workPercent?.let { forwarding.dispatcher.onSlowness(slot, it) }
        if (head.isLeaving) onLeaving(slot)
        return when {
            head.hasNotRun -> onNotRun(slot.target, exchange, connection, head)
            head.status in SUCCESS_STATUSES && !head.hasReceipt ->
                mayHaveRunAt(slot.target, "success without receipt", isTimeout = false)

            else -> {
                recordResponse(slot.target, head)
                val run = RunRecorder(clock, sentMillis, forwarding.tokensPerEvent(plan.service), isResumed)
                val release = { forwarding.dispatcher.release(slot, SlotOutcome.USED, run.observation()) }
                val attempt = Attempt(slot, exchange, run, connection, forwarding.connections, release)
                AttemptResult.Responded(attempt, head, result.headers)
            }
        }
    }

    private fun onLeaving(slot: AssignedSlot) {
        if (!forwarding.dispatcher.onLeaving(slot)) return
        val worker = slot.target.worker
        logger.atInfo {
            message = "forward: worker states that it leaves"
            payload = mapOf("worker" to worker.id, "address" to worker.address, "request" to plan.id)
        }
    }

    private fun recordResponse(target: WorkerState, head: ResponseHead) {
        target.onReachable()
        possibleRuns++
        excludedWorkers += target.worker.id
        headMillis = clock.millis()
        traceAttempt(target, "${head.status}")
    }

    private suspend fun onNotRun(
        target: WorkerState,
        exchange: WorkerExchange,
        connection: WorkerConnection,
        head: ResponseHead,
    ): AttemptResult {
        if (head.status == HTTP_UNAVAILABLE) {
            target.onFull(clock.millis())
        } else {
            forwarding.prober.markUnreachable(target)
        }
        exchange.readAll(REFUSAL_BODY_TIMEOUT_MILLIS, REFUSAL_BODY_BYTES)
        if (exchange.isReusable) forwarding.connections.release(connection, exchange.keepAliveMillis)
        return notRunAt(target, "worker_${head.status}")
    }

    private fun notRunAt(target: WorkerState, reason: String): AttemptResult {
        excludedWorkers += target.worker.id
        traceAttempt(target, reason)
        return AttemptResult.NotRun(reason)
    }

    private fun mayHaveRunAt(target: WorkerState, reason: String, isTimeout: Boolean): AttemptResult {
        possibleRuns++
        hasUnusableResponse = true
        excludedWorkers += target.worker.id
        traceAttempt(target, reason)
        return AttemptResult.MayHaveRun(reason, isTimeout)
    }

    private fun traceAttempt(target: WorkerState, outcome: String) {
        trace += "${target.worker.id}:$outcome$connectionLabel"
    }

    private fun outgoingRequest(target: WorkerState, resumeAfter: Long?): OutgoingRequest {
        isResumed = resumeAfter != null
        val attempt =
            AttemptMetadata(plan.id, target.worker.id, remainingMillis.coerceAtLeast(1), plan.organisation, resumeAfter)
        val headers = forwarding.protocol.requestHeaders(plan.headers, attempt)
        return OutgoingRequest(plan.id, plan.method, plan.uri, headers, plan.body)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        val SUCCESS_STATUSES = 200..299

        // Limits consecutive refusals by workers: further attempts would use up the caller's time on a full service.
        const val MAXIMUM_REFUSALS = 4
        const val REFUSAL_BODY_TIMEOUT_MILLIS = 100L
        const val REFUSAL_BODY_BYTES = 65_536
    }
}
