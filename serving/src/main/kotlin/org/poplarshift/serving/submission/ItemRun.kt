package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.core.submission.ItemState
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.forward.Attempt
import org.poplarshift.serving.forward.AttemptPlan
import org.poplarshift.serving.forward.AttemptResult
import org.poplarshift.serving.forward.AttemptSession
import org.poplarshift.serving.forward.BodyResult
import org.poplarshift.serving.forward.DispatchRequest
import org.poplarshift.serving.forward.EventSplitter
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.forward.ResponsePart
import org.poplarshift.serving.forward.StreamEvent

/** Runs one item until it has a result, going on after the last event when a run breaks off. */
class ItemRun(
    private val partition: SubmissionPartition,
    state: SubmissionState,
    private val item: ItemState,
    private val forwarding: ForwardingContext,
    private val wallClockMillis: () -> Long,
) {
    private val proposal = state.proposal
    private val output = StringBuilder()
    private var hasOutput = false
    private var failures = 0
    private var runsInQuarantine = 0
    private var keptMillis = forwarding.clock.millis()
    private var keptLength = 0

    /** Whether nobody needs the result any more. The ledger is asked each time, because it may have been rebuilt. */
    val isOver: Boolean
        get() {
            val state = partition.ledger.find(proposal.submission) ?: return true
            return state.isEnded || state.item(item.proposed.id)?.isListed != false
        }

    /** Milliseconds until the result is due. */
    val untilDueMillis: Long
        get() = proposal.firstSentMillis + proposal.dueMillis - wallClockMillis()

    /** Whether the item must no longer yield to online requests if it is to be on time. */
    val isUrgent: Boolean
        get() = untilDueMillis in 0..URGENT_MILLIS

    /** The service whose workers run the item. */
    val service: String
        get() = proposal.service

    /** Identifies the item among all. */
    val key: String
        get() = "${proposal.submission}/${item.proposed.id}"

    /** Number of the last event of the output, or null. */
    var lastEvent: Long? = null
        private set

    init {
        item.progress?.let { progress ->
            lastEvent = progress.lastEvent
            output.append(progress.output.decodeToString())
            hasOutput = true
        }
    }

    /** Runs to the result. Cancelling ends the work at the worker. */
    suspend fun run() {
        while (!isOver) {
            if (leftMillis() <= 0) return list(isComplete = false, "time is up")
            val session = session()
            awaitQuarantine(session)
            val demand =
                DispatchRequest(proposal.service, BATCH_RANK, SEAT_WAIT_MILLIS, headroom = headroom(), isBatch = true)
            when (val result = session.attempt(demand, HEAD_MILLIS, lastEvent)) {
                is AttemptResult.NotRun, AttemptResult.Quarantined -> delay(RETRY_MILLIS)
                is AttemptResult.MayHaveRun -> logger.debug { "batch: item ${item.proposed.id}: ${session.trace}" }
                is AttemptResult.Responded -> if (follow(result, session)) return
            }
        }
    }

    // An item may not be given up for crashing workers, but each further run may take the runs beside it down.
    private suspend fun awaitQuarantine(session: AttemptSession) {
        if (!session.isQuarantined) return
        val pauseMillis = QUARANTINE_PAUSE_MILLIS shl minOf(runsInQuarantine++, MAXIMUM_DOUBLINGS)
        logger.info { "batch: item $key has crashed workers and waits $pauseMillis ms" }
        delay(pauseMillis)
    }

    /** Keeps the events so far in the log, so that another node can go on after them. */
    suspend fun keep() {
        val last = lastEvent ?: return
        if (isOver || output.length < SMALLEST_KEPT) return
        val record = SubmissionRecord.Progress(proposal.submission, item.proposed.id, last)
        val result = partition.write(record, output.toString().encodeToByteArray())
        logger.atInfo {
            message = "batch: progress of an item kept"
            payload = mapOf(
                "submission" to proposal.submission,
                "item" to item.proposed.id,
                "event" to last,
                "result" to result.toString(),
            )
        }
    }

    private suspend fun follow(answered: AttemptResult.Responded, session: AttemptSession): Boolean {
        val attempt = answered.attempt
        try {
            return when (val status = answered.head.status) {
                OK -> copy(attempt, session)
                UNPROCESSABLE -> {
                    discard(attempt)
                    list(isComplete = false, "worker_$status")
                    true
                }

                else -> {
                    discard(attempt)
                    if (status == INTERNAL_ERROR) failures++
                    if (failures >= proposal.maximumAttempts) {
                        list(isComplete = false, "worker_$status")
                        return true
                    }
                    delay(RETRY_MILLIS)
                    false
                }
            }
        } finally {
            attempt.close()
        }
    }

    private suspend fun discard(attempt: Attempt) {
        val body = attempt.exchange.readAll(FAILURE_BODY_MILLIS, FAILURE_BODY_BYTES)
        if (body is BodyResult.Incomplete) logger.debug { "batch: body of a failure: ${body.reason}" }
        attempt.close()
    }

    private suspend fun copy(attempt: Attempt, session: AttemptSession): Boolean {
        val splitter = EventSplitter()
        while (true) {
            when (val part = attempt.exchange.next(PAUSE_MILLIS)) {
                is ResponsePart.Bytes -> splitter.add(part.bytes).forEach { append(it) }

                ResponsePart.End -> {
                    if (splitter.hasPartial) return false
                    attempt.close()
                    session.onCompleted()
                    list(isComplete = true, "complete")
                    return true
                }

                is ResponsePart.ConnectionLost -> {
                    session.onConnectionLostDuringResponse(attempt.target.worker)
                    return false
                }

                ResponsePart.TimedOut -> return false
            }
            if (isOver) return true
            keepNowAndThen()
        }
    }

    // Without it, a process that is killed loses all that its runs have produced.
    private fun keepNowAndThen() {
        val now = forwarding.clock.millis()
        if (now - keptMillis < KEEP_MILLIS || output.length - keptLength < SMALLEST_KEPT) return
        val last = lastEvent ?: return
        keptMillis = now
        keptLength = output.length
        val record = SubmissionRecord.Progress(proposal.submission, item.proposed.id, last)
        partition.post(record, output.toString().encodeToByteArray())
    }

    private fun append(event: StreamEvent) {
        event.id?.let { lastEvent = it }
        val data = event.data ?: return
        if (hasOutput) output.append('\n')
        output.append(data)
        hasOutput = true
    }

    private suspend fun list(isComplete: Boolean, reason: String) {
        val record = SubmissionRecord.Result(proposal.submission, item.proposed.id, isComplete)
        val content = if (isComplete) output.toString().encodeToByteArray() else ByteArray(0)
        while (!isOver) {
            when (val result = partition.write(record, content)) {
                is WriteResult.Applied -> break
                is WriteResult.Refused -> delay(RETRY_MILLIS)
                is WriteResult.Unknown -> logger.warn {
                    "batch: result of ${item.proposed.id} not read back: ${result.reason}"
                }
            }
        }
        logger.atInfo {
            message = "batch: item has a result"
            payload = mapOf(
                "submission" to proposal.submission,
                "item" to item.proposed.id,
                "complete" to isComplete,
                "reason" to reason,
                "millis_to_due" to untilDueMillis,
            )
        }
    }

    private fun session(): AttemptSession {
        val headers = MultiMap.caseInsensitiveMultiMap()
        item.proposed.headers.forEach { (name, value) -> headers.add(name, value) }
        headers.set("Host", proposal.host)
        val plan = AttemptPlan(
            id = item.proposed.id,
            service = proposal.service,
            organisation = proposal.organisation.ifEmpty { null },
            method = HttpMethod.POST,
            uri = item.proposed.path,
            headers = headers,
            body = Buffer.buffer(item.body),
            deadlineMillis = forwarding.clock.millis() + leftMillis(),
            maximumAttempts = proposal.maximumAttempts,
            enforcesQuarantine = false,
        )
        return AttemptSession(plan, forwarding)
    }

    private fun leftMillis(): Long = proposal.firstSentMillis + proposal.abandonMillis - wallClockMillis()

    private fun headroom(): Int = if (isUrgent) 0 else SPARED_SLOTS

    private companion object {
        val logger = KotlinLogging.logger {}
        const val OK = 200
        const val UNPROCESSABLE = 422
        const val INTERNAL_ERROR = 500

        // After all online requests, whose ranks are small numbers.
        const val BATCH_RANK = 1_000

        // Slots of a worker that batch leaves to the next online requests.
        const val SPARED_SLOTS = 1

        // An item of usual size needs about this time at busy workers.
        const val URGENT_MILLIS = 6_500L

        // A crashed worker is back after some seconds; an innocent item must still be done before it is given up.
        const val QUARANTINE_PAUSE_MILLIS = 4_000L
        const val MAXIMUM_DOUBLINGS = 4
        const val SEAT_WAIT_MILLIS = 1_000L
        const val RETRY_MILLIS = 150L

        // A run waits at a full worker; a worker that is silent for longer is probably gone.
        const val HEAD_MILLIS = 4_000L
        const val PAUSE_MILLIS = 2_500L
        const val FAILURE_BODY_MILLIS = 500L
        const val FAILURE_BODY_BYTES = 65_536

        // A third of the duration of an item of usual size.
        const val KEEP_MILLIS = 2_000L

        // Less output than this is produced again faster than it is stored.
        const val SMALLEST_KEPT = 1_000
    }
}
