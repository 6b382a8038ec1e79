package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.WorkerSeat
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.quarantine.CrashRegister
import org.poplarshift.serving.quarantine.RequestFingerprint
import org.poplarshift.serving.quarantine.RunAtWorker
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/**
 * The parts of a request that all its attempts share.
 *
 * @property maximumAttempts workers that may run it
 * @property deadlineMillis monotonic milliseconds at which nobody waits any more
 * @property enforcesQuarantine whether a request that has crashed several workers is not sent any more
 */
class AttemptPlan(
    val id: String,
    val service: String,
    val organisation: String?,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
    val deadlineMillis: Long,
    val maximumAttempts: Int,
    val enforcesQuarantine: Boolean = true,
) {
    /** Recognises the request when it comes again under another id. */
    val fingerprint: String by lazy(LazyThreadSafetyMode.NONE) { RequestFingerprint.of(organisation, uri, body) }
}

/** The outcome of one attempt. */
sealed interface AttemptResult {
    /** A worker answers; [attempt] must be closed. */
    class Responded(val attempt: Attempt, val head: ResponseHead, val headers: MultiMap) : AttemptResult

    /** No worker has run the request in this attempt. */
    data class NotRun(val reason: String) : AttemptResult

    /** Workers have crashed with the request, and it was not sent to another. */
    data object Quarantined : AttemptResult

    /** A worker may have run the request. */
    data class MayHaveRun(val reason: String, val isTimeout: Boolean) : AttemptResult
}

/** One send to one worker that answers. */
class Attempt(
    val target: WorkerSeat,
    val exchange: WorkerExchange,
    private val connection: WorkerConnection,
    private val connections: WorkerConnectionPool,
    private val onClose: () -> Unit,
) {
    private var isClosed = false

    /** Ends the attempt: keeps the connection after a complete answer and closes it otherwise. */
    fun close() {
        if (isClosed) return
        isClosed = true
        if (exchange.isReusable) connections.release(connection, exchange.keepAliveMillis) else connection.close()
        onClose()
    }
}

/** Sends one request to workers until one answers, with as few sends as possible that may run. */
class AttemptSession(private val plan: AttemptPlan, private val forwarding: ForwardingContext) {
    private val clock: MonotonicClock = forwarding.clock
    private val excludedWorkers = HashSet<String>()

    /** Sends after which a worker may have run the request. */
    var possibleRuns = 0
        private set

    /** Whether a send has no outcome yet, so that it may have run. */
    var isInFlight = false
        private set

    /** Milliseconds that the request has waited at this node for a worker with room. */
    var waitedMillis = 0L
        private set

    /** What happened so far, for the log. */
    val trace = ArrayList<String>()

    /** Whether another worker may run the request. */
    val hasAttemptsLeft: Boolean
        get() = possibleRuns < plan.maximumAttempts

    /** Milliseconds until nobody waits any more. */
    val remainingMillis: Long
        get() = plan.deadlineMillis - clock.millis()

    /**
     * Sends the request to a worker.
     *
     * @param request what the request needs; workers that have failed it are excluded as well
     * @param headTimeoutMillis how long to wait for the head of the answer
     * @param resumeAfter the last event of an earlier run, or null
     */
    suspend fun attempt(request: DispatchRequest, headTimeoutMillis: Long, resumeAfter: Long?): AttemptResult {
        if (plan.enforcesQuarantine && isQuarantined) {
            trace += "quarantined(${plan.fingerprint})"
            return AttemptResult.Quarantined
        }
        val waitDeadlineMillis = clock.millis() + request.waitMillis
        var refusals = 0
        while (true) {
            val waitMillis = minOf(waitDeadlineMillis, plan.deadlineMillis) - clock.millis()
            val dispatchRequest = request.copy(
                excludedWorkers = excludedWorkers + request.excludedWorkers,
                waitMillis = waitMillis,
            )
            val target = when (val result = acquire(dispatchRequest)) {
                is DispatchResult.Assigned -> result.target
                DispatchResult.NoWorker -> return notAssigned(if (refusals > 0) "workers_full" else "no_worker")
                DispatchResult.NoCapacity -> return notAssigned("no_room")
            }
            val result = sendTo(target, request.isBatch, headTimeoutMillis, resumeAfter)
            if (result !is AttemptResult.NotRun) return result
            refusals++
            excludedWorkers += target.worker.id
            if (remainingMillis <= 0 || refusals >= MAXIMUM_REFUSALS) return result
        }
    }

    /** Whether several workers have crashed with the request. */
    val isQuarantined: Boolean
        get() = !forwarding.crashes.isEmpty &&
            forwarding.crashes.statusOf(plan.fingerprint) == SuspectStatus.Quarantined

    /** Takes that the connection to [worker] was lost within the answer. */
    fun onConnectionLostDuringResponse(worker: FleetWorker) = recordConnectionLoss(worker)

    /** Takes that an answer was complete. */
    fun onCompleted() {
        if (!forwarding.crashes.isEmpty) forwarding.crashes.onCompleted(plan.fingerprint)
    }

    private suspend fun acquire(request: DispatchRequest): DispatchResult {
        val startMillis = clock.millis()
        return forwarding.dispatcher.acquire(request).also { waitedMillis += clock.millis() - startMillis }
    }

    private fun recordConnectionLoss(worker: FleetWorker) =
        forwarding.crashes.onLost(RunAtWorker(plan.fingerprint, "${worker.id}/${worker.startedMillis}"))

    private fun notAssigned(reason: String): AttemptResult {
        trace += "$reason(${forwarding.dispatcher.describe(plan.service)})"
        return AttemptResult.NotRun(reason)
    }

    private suspend fun sendTo(
        target: WorkerSeat,
        isBatch: Boolean,
        headTimeoutMillis: Long,
        resumeAfter: Long?,
    ): AttemptResult {
        var isAttemptOpen = false
        var connection: WorkerConnection? = null
        val release = { forwarding.dispatcher.release(target, isBatch) }
        try {
            connection = forwarding.connections.acquire(target.worker)
            if (connection == null) {
                forwarding.prober.markUnreachable(target)
                return notRunAt(target, "connect_failed")
            }
            val exchange = WorkerExchange(connection, forwarding.protocol)
            isInFlight = true
            val result = exchange.send(
                outgoingRequest(target, resumeAfter),
                minOf(headTimeoutMillis, remainingMillis).coerceAtLeast(1),
            )
            val outcome = classify(target, exchange, connection, result, release)
            isInFlight = false
            isAttemptOpen = outcome is AttemptResult.Responded
            return outcome
        } finally {
            if (!isAttemptOpen) {
                if (connection != null && !connection.isIdle) connection.close()
                release()
            }
        }
    }

    private suspend fun classify(
        target: WorkerSeat,
        exchange: WorkerExchange,
        connection: WorkerConnection,
        result: ExchangeResult,
        release: () -> Unit,
    ): AttemptResult = when (result) {
        is ExchangeResult.ConnectionLost -> {
            target.onLost()
            recordConnectionLoss(target.worker)
            mayHaveRunAt(target, result.reason, isTimeout = false)
        }

        ExchangeResult.WrongResponse -> {
            target.onLost()
            mayHaveRunAt(target, "answer to another request", isTimeout = false)
        }

        ExchangeResult.TimedOut -> {
            forwarding.prober.markUnreachable(target)
            mayHaveRunAt(target, "silent", isTimeout = true)
        }

        is ExchangeResult.Response -> {
            val head = result.head
            head.requestsAtWorker?.let { target.onReport(it, clock.millis()) }
            when {
                head.hasNotRun -> onNotRun(target, exchange, connection, head)
                head.status in SUCCESS_STATUSES && !head.hasReceipt ->
                    mayHaveRunAt(target, "success without receipt", isTimeout = false)

                else -> {
                    recordResponse(target, head)
                    val attempt = Attempt(target, exchange, connection, forwarding.connections, release)
                    AttemptResult.Responded(attempt, head, result.headers)
                }
            }
        }
    }

    private fun recordResponse(target: WorkerSeat, head: ResponseHead) {
        target.onAlive()
        possibleRuns++
        excludedWorkers += target.worker.id
        trace += "${target.worker.id}:${head.status}"
    }

    private suspend fun onNotRun(
        target: WorkerSeat,
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

    private fun notRunAt(target: WorkerSeat, reason: String): AttemptResult {
        trace += "${target.worker.id}:$reason"
        return AttemptResult.NotRun(reason)
    }

    private fun mayHaveRunAt(target: WorkerSeat, reason: String, isTimeout: Boolean): AttemptResult {
        possibleRuns++
        excludedWorkers += target.worker.id
        trace += "${target.worker.id}:$reason"
        return AttemptResult.MayHaveRun(reason, isTimeout)
    }

    private fun outgoingRequest(target: WorkerSeat, resumeAfter: Long?): OutgoingRequest {
        val attempt =
            AttemptMetadata(plan.id, target.worker.id, remainingMillis.coerceAtLeast(1), plan.organisation, resumeAfter)
        val headers = forwarding.protocol.requestHeaders(plan.headers, attempt)
        return OutgoingRequest(plan.id, plan.method, plan.uri, headers, plan.body)
    }

    private companion object {
        val SUCCESS_STATUSES = 200..299

        // Workers that refuse a request in a row; more would spend the caller's time on a service that is full.
        const val MAXIMUM_REFUSALS = 4
        const val REFUSAL_BODY_TIMEOUT_MILLIS = 100L
        const val REFUSAL_BODY_BYTES = 65_536
    }
}

/** What forwarding needs. */
class ForwardingContext(
    val dispatcher: WorkerDispatcher,
    val connections: WorkerConnectionPool,
    val prober: WorkerProber,
    val protocol: WorkerProtocol,
    val clock: MonotonicClock,
    val crashes: CrashRegister,
)
