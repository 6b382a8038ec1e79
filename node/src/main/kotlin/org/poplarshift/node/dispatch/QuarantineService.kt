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
import org.poplarshift.node.peer.GossipParticipant
import org.poplarshift.wire.GossipMessage
import org.poplarshift.wire.QuarantineRequest
import org.poplarshift.wire.QuarantineResponse
import org.poplarshift.wire.WireJson

/**
 * Detects which requests workers crashed on, reports them to all peers, and handles the peers' messages about suspects.
 *
 * @param inFlightAt returns the number of this node's unfinished requests at a worker
 * @param onHoldChanged called when a peer places or releases a hold on a worker
 */
class QuarantineService(
    private val context: NodeContext,
    private val messenger: SuspectMessenger,
    private val poller: LoadPoller,
    private val peersRouter: Router,
    private val inFlightAt: (String) -> Int,
    private val onHoldChanged: (String) -> Unit,
) : NodePart,
    GossipParticipant {
    private val table = QuarantineTable(retentionMillis = DEFAULT_RETENTION_MILLIS)
    private val quarantineLog = QuarantineLog(context, table)
    private val pendingChecks = HashMap<String, Job>()

    /** Holds that reserve workers for suspects of this node and of its peers. */
    val holds = WorkerHoldTable()

    override suspend fun start() {
        peersRouter.post(SuspectMessenger.PATH).suspendingHandler(context.scope) { handle(it) }
        quarantineLog.start()
        context.scope.launch {
            while (true) {
                delay(EXPIRY_PERIOD_MILLIS)
                table.expire(context.clock.millis())
            }
        }
    }

    /** Sets the retention time of strikes. */
    fun setRetention(hours: Int) {
        table.retentionMillis = hours * MILLIS_PER_HOUR
    }

    /** Returns the current status of [fingerprint]. */
    fun statusOf(fingerprint: String): SuspectStatus = table.statusOf(fingerprint, context.clock.millis())

    /** Starts to check whether [worker] crashed, after its connection was lost while it ran [fingerprint]. */
    fun onConnectionLost(fingerprint: String, worker: Worker) {
        val job = context.scope.launch {
            if (!hasCrashed(worker)) return@launch
            log.warn { "quarantine: worker ${worker.id} crashed while it ran request ${fingerprint.take(12)}" }
            publish(table.onWorkerCrash(fingerprint, worker.id, context.clock.millis()))
        }
        pendingChecks[fingerprint] = job
        job.invokeOnCompletion { pendingChecks.remove(fingerprint, job) }
    }

    /** Clears the strikes of [fingerprint], which a worker has completed, when it is a suspect. */
    fun onAnswered(fingerprint: String) {
        val update = table.onCompleted(fingerprint, context.clock.millis())
        if (!update.isEmpty) context.scope.launch { publish(update) }
    }

    /**
     * Waits until the check of the last worker of [fingerprint] has finished and a detected crash has been reported to
     * the reachable peers.
     */
    suspend fun awaitCrashReport(fingerprint: String) {
        pendingChecks[fingerprint]?.join()
    }

    override fun contribute(message: GossipMessage): GossipMessage =
        message.copy(quarantine = table.snapshot(context.clock.millis(), GOSSIP_LIMIT))

    override suspend fun accept(message: GossipMessage, sentMillis: Long) {
        table.merge(message.quarantine, context.clock.millis())
    }

    // A crashing process closes its connections and its listener in any order, so the first probe may still reach the
    // listener's queue. A worker that does not respond may be partitioned, which does not count against the request.
    private suspend fun hasCrashed(worker: Worker): Boolean {
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

    private suspend fun publish(update: QuarantineUpdate) {
        quarantineLog.add(update)
        messenger.sendToAll(QuarantineRequest(update), messenger.addresses)
    }

    private suspend fun handle(routing: RoutingContext) {
        val read = routing.request().readBody(MAXIMUM_BYTES, idleMillis = BODY_IDLE_MILLIS)
        val message = try {
            (read as? BodyResult.Complete)
                ?.let { WireJson.lenient.decodeFromString(QuarantineRequest.serializer(), it.body.toString()) }
        } catch (exception: SerializationException) {
            log.warn { "quarantine: rejected an undecodable peer message: ${exception.message}" }
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
        val holdResponse = message.hold?.let { holds.place(it, inFlightAt(it.worker), now) }
        message.release?.let { holds.release(it) }
        listOfNotNull(message.hold, message.release).forEach { onHoldChanged(it.worker) }
        return QuarantineResponse(holdResponse)
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
