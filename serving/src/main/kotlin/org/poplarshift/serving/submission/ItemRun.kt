package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.VersionRequirement
import org.poplarshift.core.submission.ItemProgress
import org.poplarshift.core.submission.ItemState
import org.poplarshift.core.submission.OriginWait
import org.poplarshift.core.submission.ProposedItem
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.forward.Attempt
import org.poplarshift.serving.forward.AttemptPlan
import org.poplarshift.serving.forward.AttemptResult
import org.poplarshift.serving.forward.AttemptSession
import org.poplarshift.serving.forward.BodyResult
import org.poplarshift.serving.forward.DispatchRequest
import org.poplarshift.serving.forward.EventStreamPart
import org.poplarshift.serving.forward.EventStreamReader
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.forward.StreamEvent

/** Runs one item, as often as it takes to get a result. An interrupted run is resumed after the last event that was received. */
class ItemRun(
    private val partition: SubmissionPartition,
    state: SubmissionState,
    private val item: ItemState,
    private val forwarding: ForwardingContext,
    configuration: () -> IngressConfiguration?,
    private val wallClockMillis: () -> Long,
) {
    private val proposal = state.proposal
    private val progressWriter =
        ItemProgressWriter(partition, proposal.submission, item.proposed.id, forwarding.clock)
    private var output: ItemOutput? = null
    private val originWait = OriginWait()
    private var unreadProgress = item.progress
    private var internalErrors = 0
    private var failedWorker: String? = null

    /**
     * Whether the submission has ended or the item already has a result.
     *
     * Reads the ledger on every access, because the ledger may have been rebuilt.
     */
    val isFinished: Boolean
        get() {
            val state = partition.ledger.find(proposal.submission) ?: return true
            return state.isEnded || state.item(item.proposed.id)?.hasResult != false
        }

    /** Milliseconds until the result is due, negative when it is overdue. */
    val untilDueMillis: Long
        get() = proposal.firstSentMillis + proposal.dueMillis - wallClockMillis()

    /** Whether the item is so close to its due time that it must not be paused in favour of online requests. */
    val isUrgent: Boolean
        get() = untilDueMillis in 0..OriginWait.WHOLE_RUN_MILLIS

    private val itemService = ItemService(proposal, item.proposed, configuration)

    /** The service whose workers run the item: that of its route in the configuration in force. */
    val service: String
        get() = itemService.current

    /** The service and the organisation that a run of the item counts for. */
    val account: RunAccount
        get() = RunAccount(service, proposal.organisation)

    /** Whether the item is given up instead of being run. */
    val isTimeUp: Boolean
        get() = remainingMillis() <= 0

    /** Whether the run has not received a response from a worker yet. */
    var isWaiting = false
        private set

    /** Monotonic time in milliseconds from which the item may be run again after no worker has run it. */
    var retryMillis = Long.MIN_VALUE
        private set

    /**
     * Sends the item to a worker once, unless its time is up. Cancellation also cancels the request at the worker.
     *
     * Without a result, or while its body can't be read, the item goes back into the queue of its service, so that it
     * holds no run without a worker.
     *
     * @param onPreempt called when the run must give up its slot
     */
    suspend fun run(onPreempt: () -> Unit) {
        if (isFinished) return
        isWaiting = true
        if (isTimeUp) return recordResult(isComplete = false, "time is up")
        val body = readBody() ?: return retryLater()
        // The submission may have been ended during the read.
        if (isFinished) return
        val session = newSession(body)
        val request = dispatchRequest(onPreempt)
        failedWorker = null
        lateinit var origin: StreamOrigin
        val result = session.attempt(request, HEAD_TIMEOUT_MILLIS) { worker ->
            origin = StreamOrigin(worker.service, worker.softwareVersion)
            output?.takeIf { it.origin == origin }?.lastEvent
        }
        isWaiting = false
        when (result) {
            is AttemptResult.NotRun -> onNotRun(result)
            is AttemptResult.RateExceeded, AttemptResult.Quarantined -> retryLater()
            is AttemptResult.MayHaveRun -> {
                logger.debug { "batch: item ${item.proposed.id} may have run: ${session.trace}" }
                originWait.onFailed(forwarding.clock.millis())
            }

            is AttemptResult.Responded -> if (!handleResponse(result, session, origin)) {
                failedWorker = result.attempt.target.worker.id
                originWait.onFailed(forwarding.clock.millis())
            }
        }
    }

    private fun onNotRun(result: AttemptResult.NotRun) {
        if (result.reason == AttemptResult.NO_WORKER) {
            originWait.onFailed(forwarding.clock.millis())
        } else {
            originWait.onFull()
        }
        retryLater()
    }

    /** Saves the output so far in the log, so that another node can resume after the last event. */
    suspend fun saveProgress() {
        if (!isFinished) output?.let { progressWriter.save(it) }
    }

    private suspend fun handleResponse(
        response: AttemptResult.Responded,
        session: AttemptSession,
        origin: StreamOrigin,
    ): Boolean {
        val attempt = response.attempt
        progressWriter.onResponse()
        try {
            return when (val status = response.head.status) {
                OK -> collectOutput(outputOf(origin), attempt, session)
                else -> {
                    val isUsable = discardBody(attempt)
                    if (isUsable && status == INTERNAL_ERROR) internalErrors++
                    val isFinal = status == UNPROCESSABLE || internalErrors >= proposal.maximumAttempts
                    if (isUsable && isFinal) {
                        recordResult(isComplete = false, "worker_$status")
                        return true
                    }
                    retryLater()
                    false
                }
            }
        } finally {
            attempt.close()
            // An incomplete run is resumed after the last event that has an id.
            output?.restore()
        }
    }

    /** Returns the output that a run at [origin] continues, or an empty one that replaces the output of another origin. */
    private fun outputOf(origin: StreamOrigin): ItemOutput {
        output?.let { if (it.origin == origin) return it else reportDropped(it.lastEvent, it.origin) }
        return ItemOutput(origin).also { output = it }
    }

    private fun reportDropped(lastEvent: Long?, origin: StreamOrigin?) {
        if (lastEvent == null) return
        logger.atInfo {
            message = "batch: an item begins anew"
            payload = mapOf(
                "submission" to proposal.submission,
                "item" to item.proposed.id,
                "dropped_event" to lastEvent,
                "dropped_service" to origin?.service,
                "dropped_version" to origin?.softwareVersion,
            )
        }
    }

    /** Reads the body and the saved progress of the item from the log. Returns null if it can't be read at present. */
    private suspend fun readBody(): ByteArray? {
        unreadProgress?.let { if (!readProgress(it)) return null }
        unreadProgress = null
        return partition.read(item.body)
    }

    private suspend fun readProgress(progress: ItemProgress): Boolean {
        val origin = progress.origin
        if (origin == null) {
            reportDropped(progress.lastEvent, origin = null)
        } else {
            val saved = partition.read(progress.output) ?: return false
            output = ItemOutput(origin, saved, progress.lastEvent)
        }
        return true
    }

    private fun retryLater() {
        retryMillis = forwarding.clock.millis() + RETRY_MILLIS
    }

    /** Reads the body of an error response. Returns false if other bytes follow it, so that the error does not count. */
    private suspend fun discardBody(attempt: Attempt): Boolean {
        val body = attempt.exchange.readAll(ERROR_BODY_TIMEOUT_MILLIS, MAXIMUM_ERROR_BODY_BYTES)
        if (body is BodyResult.Incomplete) logger.debug { "batch: body of an error response not read: ${body.reason}" }
        attempt.close()
        return body !is BodyResult.Incomplete || !body.isStatusInDoubt
    }

    private suspend fun collectOutput(output: ItemOutput, attempt: Attempt, session: AttemptSession): Boolean {
        val reader = EventStreamReader(attempt.exchange, forwarding.clock, output.lastEvent, MAXIMUM_OUTPUT_BYTES)
        val before = output.resumePoint
        while (true) {
            when (val part = reader.next(minOf(IDLE_TIMEOUT_MILLIS, remainingMillis()))) {
                is EventStreamPart.Events -> append(part.events, output, attempt, session)

                EventStreamPart.Complete -> {
                    attempt.complete()
                    session.onCompleted()
                    recordResult(isComplete = true, "complete")
                    return true
                }

                is EventStreamPart.BrokenOff -> {
                    if (part.isConnectionLost) session.onConnectionLostDuringResponse(attempt.target.worker)
                    return false
                }

                is EventStreamPart.Invalid -> {
                    output.restore(before)
                    onInvalidResponse(attempt, part.reason)
                    return false
                }

                EventStreamPart.TimedOut -> {
                    session.onSilentDuringResponse(attempt.target.worker)
                    return false
                }
            }
            if (isFinished) return true
            progressWriter.savePeriodically(output)
        }
    }

    private fun append(events: List<StreamEvent>, output: ItemOutput, attempt: Attempt, session: AttemptSession) {
        session.onAnswered()
        originWait.onContinued()
        attempt.run.onEvents(events)
        events.forEach { output.append(it) }
    }

    private fun onInvalidResponse(attempt: Attempt, reason: String) {
        attempt.target.onConnectionLost()
        logger.atWarn {
            message = "batch: a worker has sent an invalid response to an item"
            payload = mapOf(
                "submission" to proposal.submission,
                "item" to item.proposed.id,
                "worker" to attempt.target.worker.id,
                "reason" to reason,
            )
        }
    }

    private suspend fun recordResult(isComplete: Boolean, reason: String) {
        val record = SubmissionRecord.Result(proposal.submission, item.proposed.id, isComplete)
        val content = output?.takeIf { isComplete }?.encode() ?: ByteArray(0)
        while (!isFinished) {
            when (val result = partition.write(record, content)) {
                is WriteResult.Applied -> break
                is WriteResult.Refused -> delay(RETRY_MILLIS)
                is WriteResult.Unknown -> logger.warn {
                    "batch: result of item ${item.proposed.id} not read back, writing it again: ${result.reason}"
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

    // A run that continues the output waits for its origin. Any other run begins where the log records that it may.
    private val versions: VersionRequirement
        get() {
            val origin = output?.takeIf { it.lastEvent != null && it.origin.service == service }?.origin
            val isFree = origin == null || originWait.isOver(forwarding.clock.millis(), untilDueMillis)
            return if (isFree) VersionRequirement.Recorded else VersionRequirement.Only(origin.softwareVersion)
        }

    private fun dispatchRequest(onPreempt: () -> Unit) = DispatchRequest(
        service,
        BATCH_PRIORITY,
        WORKER_WAIT_MILLIS,
        use = if (isUrgent) SlotUse.URGENT_BATCH else SlotUse.BATCH,
        onTimeUntilMillis = forwarding.clock.millis() + untilDueMillis,
        excludedWorkers = setOfNotNull(failedWorker),
        onPreempt = onPreempt,
        versions = versions,
    )

    private fun newSession(body: ByteArray): AttemptSession {
        val headers = MultiMap.caseInsensitiveMultiMap()
        item.proposed.headers.forEach { (name, value) -> headers.add(name, value) }
        headers.set("Host", proposal.host)
        val plan = AttemptPlan(
            id = item.proposed.id,
            service = service,
            organisation = proposal.organisation.ifEmpty { null },
            method = HttpMethod.POST,
            uri = item.proposed.path,
            headers = headers,
            body = Buffer.buffer(body),
            deadlineMillis = forwarding.clock.millis() + remainingMillis(),
            maximumAttempts = proposal.maximumAttempts,
            mayRepeat = true,
            mayCrashWorkers = false,
            route = proposal.route,
            allowedRegions = itemService.allowedRegions,
        )
        return AttemptSession(plan, forwarding)
    }

    private fun remainingMillis(): Long =
        proposal.abandonMillis - partition.certainAgeMillis(proposal, wallClockMillis())

    companion object {
        /** Unique key of [item] of the submission [state] across all submissions. */
        fun key(state: SubmissionState, item: ItemState): String = key(state.proposal, item.proposed)

        internal fun key(proposal: SubmissionRecord.Proposed, item: ProposedItem): String =
            "${proposal.submission}/${item.id}"

        private val logger = KotlinLogging.logger {}
        private const val OK = 200
        private const val UNPROCESSABLE = 422
        private const val INTERNAL_ERROR = 500

        // Online requests have small priority values, so that batch items are dispatched after all of them.
        private const val BATCH_PRIORITY = 1_000

        private const val WORKER_WAIT_MILLIS = 1_000L
        private const val RETRY_MILLIS = 150L

        // Requests queue at a fully loaded worker. A worker that does not respond for longer has probably failed.
        private const val HEAD_TIMEOUT_MILLIS = 4_000L
        private const val IDLE_TIMEOUT_MILLIS = 2_500L

        // Callers receive results in pages of at most 1 MB.
        private const val MAXIMUM_OUTPUT_BYTES = 1024 * 1024
        private const val ERROR_BODY_TIMEOUT_MILLIS = 500L
        private const val MAXIMUM_ERROR_BODY_BYTES = 65_536
    }
}
