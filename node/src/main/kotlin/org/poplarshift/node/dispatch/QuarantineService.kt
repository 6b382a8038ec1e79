package org.poplarshift.node.dispatch

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.quarantine.QuarantineTable
import org.poplarshift.core.quarantine.QuarantineUpdate
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.core.quarantine.WorkerHoldTable
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.http.BodyResult
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.json
import org.poplarshift.node.http.readBody
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.node.peer.ExchangePart
import org.poplarshift.wire.GossipMessage
import org.poplarshift.wire.QuarantineRequest
import org.poplarshift.wire.QuarantineResponse
import org.poplarshift.wire.WireJson

/**
 * Finds out which requests workers have died with, tells all peers, and answers their messages about suspects.
 *
 * @param inFlightAt this node's unfinished requests at a worker
 * @param onHoldChanged called when a peer places or ends a hold of a worker
 */
class QuarantineService(
    private val context: NodeContext,
    private val messenger: SuspectMessenger,
    private val poller: LoadPoller,
    private val peersRouter: Router,
    private val inFlightAt: (String) -> Int,
    private val onHoldChanged: (String) -> Unit,
) : NodePart,
    ExchangePart {
    private val table = QuarantineTable(retentionMillis = DEFAULT_RETENTION_MILLIS)
    private val quarantineLog = QuarantineLog(context, table)
    private val unsettled = HashMap<String, Job>()

    /** The workers that are kept free for suspects, of this node and of peers. */
    val holds = WorkerHoldTable()

    override suspend fun start() {
        peersRouter.post(SuspectMessenger.PATH).suspendingHandler(context.scope) { answer(it) }
        quarantineLog.start()
        context.scope.launch {
            while (true) {
                delay(EXPIRY_PERIOD_MILLIS)
                table.expire(context.clock.millis())
            }
        }
    }

    /** Takes over how long strikes count. */
    fun retain(hours: Int) {
        table.retentionMillis = hours * MILLIS_PER_HOUR
    }

    /** What is known about [fingerprint]. */
    fun statusOf(fingerprint: String): SuspectStatus = table.statusOf(fingerprint, context.clock.millis())

    /** Takes that the connection to [worker] was lost while it ran [fingerprint]; finds out whether it died. */
    fun onConnectionLost(fingerprint: String, worker: Worker) {
        val job = context.scope.launch {
            if (!hasDied(worker)) return@launch
            log.warn { "quarantine: worker ${worker.id} died while it ran ${fingerprint.take(12)}" }
            publish(table.onWorkerCrash(fingerprint, worker.id, context.clock.millis()))
        }
        unsettled[fingerprint] = job
        job.invokeOnCompletion { unsettled.remove(fingerprint, job) }
    }

    /** Takes that a worker has answered [fingerprint]. */
    fun onAnswered(fingerprint: String) {
        val news = table.onCompleted(fingerprint, context.clock.millis())
        if (!news.isEmpty) context.scope.launch { publish(news) }
    }

    /** Waits until it is known whether the last worker of [fingerprint] died, and until reachable peers know it too. */
    suspend fun awaitNews(fingerprint: String) {
        unsettled[fingerprint]?.join()
    }

    override fun contribute(message: GossipMessage): GossipMessage =
        message.copy(quarantine = table.snapshot(context.clock.millis(), GOSSIP_LIMIT))

    override suspend fun accept(message: GossipMessage, sentMillis: Long) {
        table.merge(message.quarantine, context.clock.millis())
    }

    // A process that dies closes its connections and its listener in any order, so that the first probe may still reach
    // the listener's queue. A worker that gives no answer at all may be cut off, which is no reason to blame a request.
    private suspend fun hasDied(worker: Worker): Boolean {
        repeat(PROBES) { probe ->
            if (probe > 0) delay(PROBE_PAUSE_MILLIS)
            when (poller.poll(worker)) {
                LoadPollResult.Refused -> return true
                is LoadPollResult.Reported -> if (probe > 0) return false
                is LoadPollResult.NoAnswer -> Unit
            }
        }
        return false
    }

    private suspend fun publish(news: QuarantineUpdate) {
        quarantineLog.add(news)
        messenger.sendToAll(QuarantineRequest(news), messenger.addresses)
    }

    private suspend fun answer(routing: RoutingContext) {
        val read = routing.request().readBody(MAXIMUM_BYTES, idleMillis = BODY_IDLE_MILLIS)
        val message = try {
            (read as? BodyResult.Complete)
                ?.let { WireJson.lenient.decodeFromString(QuarantineRequest.serializer(), it.body.toString()) }
        } catch (exception: SerializationException) {
            log.warn { "quarantine: a message is not readable: ${exception.message}" }
            null
        }
        if (message == null) {
            ErrorResponse(
                RefusalReason.BAD_REQUEST,
                "not a message about suspects",
                RunStatus.NOT_RUN,
            ).send(routing.response())
            return
        }
        routing.json(QuarantineResponse.serializer(), accept(message))
    }

    private fun accept(message: QuarantineRequest): QuarantineResponse {
        val now = context.clock.millis()
        table.merge(message.news, now)
        val answer = message.hold?.let { holds.place(it, inFlightAt(it.worker), now) }
        message.release?.let { holds.release(it) }
        listOfNotNull(message.hold, message.release).forEach { onHoldChanged(it.worker) }
        return QuarantineResponse(answer)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MILLIS_PER_HOUR = 3_600_000L
        const val DEFAULT_RETENTION_MILLIS = 24 * MILLIS_PER_HOUR
        const val EXPIRY_PERIOD_MILLIS = 60_000L
        const val PROBES = 3
        const val PROBE_PAUSE_MILLIS = 50L
        const val GOSSIP_LIMIT = 100
        const val MAXIMUM_BYTES = 1_048_576
        const val BODY_IDLE_MILLIS = 1_000L
    }
}
