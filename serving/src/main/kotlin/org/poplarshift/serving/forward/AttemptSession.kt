package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.quarantine.CrashTracker
import org.poplarshift.serving.quarantine.RequestFingerprint
import org.poplarshift.serving.quarantine.WorkerRun
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/**
 * The parts of a request that all its attempts share.
 *
 * @property maximumAttempts workers that may run it
 * @property endMillis monotonic milliseconds at which nobody waits any more
 * @property isRefusedInQuarantine whether a request that has crashed several workers is not sent any more
 */
class AttemptPlan(
    val id: String,
    val service: String,
    val organisation: String?,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
    val endMillis: Long,
    val maximumAttempts: Int,
    val isRefusedInQuarantine: Boolean = true,
) {
    /** Recognises the request when it comes again under another id. */
    val fingerprint: String by lazy(LazyThreadSafetyMode.NONE) { RequestFingerprint.of(organisation, uri, body) }
}

/** The outcome of one attempt. */
sealed interface AttemptResult {
    /** A worker answers; [attempt] must be closed. */
    class Answered(val attempt: Attempt, val head: AnswerHead, val headers: MultiMap) : AttemptResult

    /** No worker has run the request in this attempt. */
    data class NotRun(val reason: String) : AttemptResult

    /** Workers have crashed with the request, and it was not sent to another. */
    data object Quarantined : AttemptResult

    /** A worker may have run the request. */
    data class MayHaveRun(val reason: String, val isSilence: Boolean) : AttemptResult
}

/** One send to one worker that answers. */
class Attempt(
    val seat: WorkerState,
    val exchange: WorkerExchange,
    private val connection: WorkerConnection,
    private val connections: WorkerConnections,
    private val onClose: () -> Unit,
) {
    private var isClosed = false

    /** Ends the attempt: keeps the connection after a complete answer and closes it otherwise. */
    fun close() {
        if (isClosed) return
        isClosed = true
        if (exchange.isReusable) connections.keep(connection, exchange.idleMillis) else connection.close()
        onClose()
    }
}

/** Sends one request to workers until one answers, with as few sends as possible that may run. */
class AttemptSession(private val plan: AttemptPlan, private val forwarding: Forwarding) {
    private val clock: MonotonicClock = forwarding.clock
    private val excluded = HashSet<String>()

    /** Sends after which a worker may have run the request. */
    var mayHaveRun = 0
        private set

    /** Whether a send has no outcome yet, so that it may have run. */
    var isSending = false
        private set

    /** Milliseconds that the request has waited at this node for a worker with room. */
    var waitedMillis = 0L
        private set

    /** What happened so far, for the log. */
    val trace = ArrayList<String>()

    /** Whether another worker may run the request. */
    val hasAttemptsLeft: Boolean
        get() = mayHaveRun < plan.maximumAttempts

    /** Milliseconds until nobody waits any more. */
    val leftMillis: Long
        get() = plan.endMillis - clock.millis()

    /**
     * Sends the request to a worker.
     *
     * @param demand what the request needs; workers that have failed it are excluded besides
     * @param headMillis how long to wait for the head of the answer
     * @param resumeAfter the last event of an earlier run, or null
     */
    suspend fun attempt(demand: SeatDemand, headMillis: Long, resumeAfter: Long?): AttemptResult {
        if (plan.isRefusedInQuarantine && isQuarantined) {
            trace += "quarantined(${plan.fingerprint})"
            return AttemptResult.Quarantined
        }
        val until = clock.millis() + demand.waitMillis
        var refusals = 0
        while (true) {
            val waitMillis = minOf(until, plan.endMillis) - clock.millis()
            val wanted = demand.copy(excluded = excluded + demand.excluded, waitMillis = waitMillis)
            val seat = when (val result = acquire(wanted)) {
                is SeatResult.Taken -> result.seat
                SeatResult.NoWorker -> return noSeat(if (refusals > 0) "workers_full" else "no_worker")
                SeatResult.NoRoom -> return noSeat("no_room")
            }
            val result = sendTo(seat, demand.isBatch, headMillis, resumeAfter)
            if (result !is AttemptResult.NotRun) return result
            refusals++
            excluded += seat.worker.id
            if (leftMillis <= 0 || refusals >= MAXIMUM_REFUSALS) return result
        }
    }

    /** Whether several workers have crashed with the request. */
    val isQuarantined: Boolean
        get() = !forwarding.crashes.isEmpty &&
            forwarding.crashes.statusOf(plan.fingerprint) == SuspectStatus.Quarantined

    /** Takes that the connection to [worker] was lost within the answer. */
    fun onLostWithinAnswer(worker: FleetWorker) = noteLost(worker)

    /** Takes that an answer was complete. */
    fun onCompleted() {
        if (!forwarding.crashes.isEmpty) forwarding.crashes.onCompleted(plan.fingerprint)
    }

    private suspend fun acquire(demand: SeatDemand): SeatResult {
        val since = clock.millis()
        return forwarding.dispatcher.acquire(demand).also { waitedMillis += clock.millis() - since }
    }

    private fun noteLost(worker: FleetWorker) =
        forwarding.crashes.onConnectionLost(WorkerRun(plan.fingerprint, "${worker.id}/${worker.startedMillis}"))

    private fun noSeat(reason: String): AttemptResult {
        trace += "$reason(${forwarding.dispatcher.describe(plan.service)})"
        return AttemptResult.NotRun(reason)
    }

    private suspend fun sendTo(
        seat: WorkerState,
        isBatch: Boolean,
        headMillis: Long,
        resumeAfter: Long?,
    ): AttemptResult {
        var isHandedOver = false
        var connection: WorkerConnection? = null
        val release = { forwarding.dispatcher.release(seat, isBatch) }
        try {
            connection = forwarding.connections.open(seat.worker)
            if (connection == null) {
                forwarding.watch.suspect(seat)
                return refused(seat, "connect_failed")
            }
            val exchange = WorkerExchange(connection, forwarding.protocol)
            isSending = true
            val result = exchange.send(outgoing(seat, resumeAfter), minOf(headMillis, leftMillis).coerceAtLeast(1))
            val outcome = judge(seat, exchange, connection, result, release)
            isSending = false
            isHandedOver = outcome is AttemptResult.Answered
            return outcome
        } finally {
            if (!isHandedOver) {
                if (connection != null && !connection.isKept) connection.close()
                release()
            }
        }
    }

    private suspend fun judge(
        seat: WorkerState,
        exchange: WorkerExchange,
        connection: WorkerConnection,
        result: ExchangeHead,
        release: () -> Unit,
    ): AttemptResult = when (result) {
        is ExchangeHead.Lost -> {
            seat.onConnectionLost()
            noteLost(seat.worker)
            ran(seat, result.reason, isSilence = false)
        }

        ExchangeHead.Foreign -> {
            seat.onConnectionLost()
            ran(seat, "answer to another request", isSilence = false)
        }

        ExchangeHead.Silence -> {
            forwarding.watch.suspect(seat)
            ran(seat, "silent", isSilence = true)
        }

        is ExchangeHead.Answer -> {
            val head = result.head
            head.requestsAtWorker?.let { seat.onLoadReport(it, clock.millis()) }
            when {
                head.hasNotRun -> notRun(seat, exchange, connection, head)
                head.status in SUCCESS && !head.isStamped -> ran(seat, "success without receipt", isSilence = false)
                else -> {
                    answered(seat, head)
                    val attempt = Attempt(seat, exchange, connection, forwarding.connections, release)
                    AttemptResult.Answered(attempt, head, result.headers)
                }
            }
        }
    }

    private fun answered(seat: WorkerState, head: AnswerHead) {
        seat.onReachable()
        mayHaveRun++
        excluded += seat.worker.id
        trace += "${seat.worker.id}:${head.status}"
    }

    private suspend fun notRun(
        seat: WorkerState,
        exchange: WorkerExchange,
        connection: WorkerConnection,
        head: AnswerHead,
    ): AttemptResult {
        if (head.status == HTTP_UNAVAILABLE) seat.onFull(clock.millis()) else forwarding.watch.suspect(seat)
        exchange.readAll(REFUSAL_BODY_MILLIS, REFUSAL_BODY_BYTES)
        if (exchange.isReusable) forwarding.connections.keep(connection, exchange.idleMillis)
        return refused(seat, "worker_${head.status}")
    }

    private fun refused(seat: WorkerState, reason: String): AttemptResult {
        trace += "${seat.worker.id}:$reason"
        return AttemptResult.NotRun(reason)
    }

    private fun ran(seat: WorkerState, reason: String, isSilence: Boolean): AttemptResult {
        mayHaveRun++
        excluded += seat.worker.id
        trace += "${seat.worker.id}:$reason"
        return AttemptResult.MayHaveRun(reason, isSilence)
    }

    private fun outgoing(seat: WorkerState, resumeAfter: Long?): OutgoingRequest {
        val attempt = AttemptHead(plan.id, seat.worker.id, leftMillis.coerceAtLeast(1), plan.organisation, resumeAfter)
        val headers = forwarding.protocol.requestHeaders(plan.headers, attempt)
        return OutgoingRequest(plan.id, plan.method, plan.uri, headers, plan.body)
    }

    private companion object {
        val SUCCESS = 200..299

        // Workers that refuse a request in a row; more would spend the caller's time on a service that is full.
        const val MAXIMUM_REFUSALS = 4
        const val REFUSAL_BODY_MILLIS = 100L
        const val REFUSAL_BODY_BYTES = 65_536
    }
}

/** What forwarding needs. */
class Forwarding(
    val dispatcher: WorkerDispatcher,
    val connections: WorkerConnections,
    val watch: WorkerWatch,
    val protocol: WorkerProtocol,
    val clock: MonotonicClock,
    val crashes: CrashTracker,
)
