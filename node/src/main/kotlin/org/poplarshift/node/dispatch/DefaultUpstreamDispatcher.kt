package org.poplarshift.node.dispatch

import io.vertx.ext.web.Router
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.admission.QueuedRequest
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerDirectory

/**
 * Dispatches requests according to the routing policy, worker health and quarantine, with a fair queue for each
 * upstream.
 *
 * [quarantine] is a participant of the gossip between nodes.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class DefaultUpstreamDispatcher(
    private val context: NodeContext,
    private val configuration: ConfigurationStore,
    peers: PeerDirectory,
    peerClient: PeerClient,
    peersRouter: Router,
    private val settings: DispatchSettings,
    private val poller: LoadPoller = HttpLoadPoller(context.vertx, context.settings.outgoingHost),
) : UpstreamDispatcher,
    NodePart {
    private val pools: WorkerPools =
        WorkerPools(context.settings.availabilityZone, settings, context.clock, ::isHeld, ::onlineGrant)
    private val messenger = SuspectMessenger(peers, peerClient)
    private val batchWorkers = DefaultBatchWorkers(context.clock, pools, ::statusOf, ::isHeld, ::grant)

    /** Tracks suspect and quarantined requests. */
    val quarantine = QuarantineService(context, messenger, poller, peersRouter, ::inFlightAt, ::onHoldChanged)
    private val exclusiveDispatcher =
        ExclusiveDispatcher(context, messenger, quarantine, settings, ::onlineGrant, ::onHoldChanged)

    /** Access to the workers for batch jobs. */
    val batch: BatchWorkers = batchWorkers

    override suspend fun start() {
        quarantine.start()
        context.scope.launch {
            configuration.current.collect { current ->
                current.catalogue?.let {
                    quarantine.setRetention(it.retention.quarantineHours)
                    pools.update(it)
                }
            }
        }
        context.scope.launch {
            while (isActive) {
                pools.workers.forEach { worker -> launch { poll(worker) } }
                delay(settings.health.pollMillis)
            }
        }
    }

    override suspend fun acquire(upstream: Upstream, ticket: DispatchTicket): DispatchDecision {
        quarantine.awaitCrashReport(ticket.fingerprint)
        val pool = pools.of(upstream)
        return when (statusOf(ticket.fingerprint)) {
            SuspectStatus.Quarantined -> DispatchDecision.Refused(RefusalReason.QUARANTINED, 0)
            SuspectStatus.Clear -> acquireShared(pool, ticket)
            is SuspectStatus.Suspect -> exclusiveDispatcher.acquire(pool, ticket) ?: acquireShared(pool, ticket)
        }
    }

    private suspend fun acquireShared(pool: WorkerPool, ticket: DispatchTicket): DispatchDecision {
        if (pool.workers.keys.all { it in ticket.excludedWorkers }) return refused(RefusalReason.NO_WORKER)
        val request = pool.offer(ticket)
        try {
            pool.dispatch()
            val decision = withTimeoutOrNull(ticket.deadlineMillis) { request.payload.decision.await() }
            return decision ?: timedOut(pool, request)
        } catch (exception: CancellationException) {
            releaseUnclaimedGrant(request.payload)
            throw exception
        } finally {
            pool.withdraw(request)
        }
    }

    private fun timedOut(pool: WorkerPool, request: QueuedRequest<Waiter>): DispatchDecision {
        val waiter = request.payload
        // The decision may have been made in the same turn of the event loop as the timeout.
        if (waiter.decision.isCompleted) return waiter.decision.getCompleted()
        val isUsable = pool.hasUsableWorker(waiter.ticket.excludedWorkers)
        return refused(if (isUsable) RefusalReason.QUEUE_TIMEOUT else RefusalReason.NO_WORKER)
    }

    private fun refused(reason: RefusalReason) = DispatchDecision.Refused(reason, WorkerPool.RETRY_AFTER_MILLIS)

    private fun onlineGrant(pool: WorkerPool, worker: TrackedWorker, fingerprint: String) =
        grant(pool, worker, fingerprint, false)

    private fun grant(pool: WorkerPool, worker: TrackedWorker, fingerprint: String, isBatch: Boolean): WorkerGrant {
        worker.load.onDispatched(isBatch)
        val grant = DefaultWorkerGrant(
            worker = worker.worker,
            onRelease = { verdict, firstByteMillis ->
                worker.onEnded(isBatch, verdict, firstByteMillis, context.clock.millis())
                reportToQuarantine(verdict, fingerprint, worker)
                pool.dispatch()
                batchWorkers.notifyListeners(worker.worker.id)
            },
            awaitReport = { quarantine.awaitCrashReport(fingerprint) },
        )
        if (!isBatch) batchWorkers.notifyListeners(worker.worker.id)
        return grant
    }

    private fun reportToQuarantine(verdict: Verdict, fingerprint: String, worker: TrackedWorker) {
        when (verdict) {
            is Verdict.Answered -> quarantine.onAnswered(fingerprint)
            Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST) -> quarantine.onConnectionLost(fingerprint, worker.worker)
            else -> Unit
        }
    }

    private suspend fun poll(worker: TrackedWorker) {
        when (val result = poller.poll(worker.worker)) {
            is LoadPollResult.Reported -> worker.onReport(result.report, context.clock.millis())
            LoadPollResult.Refused -> worker.health.onPollFailed(refused = true)
            is LoadPollResult.NoAnswer -> worker.health.onPollFailed(refused = false)
        }
        pools.dispatch()
        batchWorkers.notifyListeners(worker.worker.id)
    }

    private fun statusOf(fingerprint: String): SuspectStatus = quarantine.statusOf(fingerprint)

    private fun isHeld(worker: String): Boolean = quarantine.holds.isHeld(worker, context.clock.millis())

    private fun onHoldChanged(worker: String) {
        pools.dispatch()
        batchWorkers.notifyListeners(worker)
    }

    private fun inFlightAt(worker: String): Int = pools.worker(worker)?.inFlight ?: 0

    // The caller may cancel in the same turn of the event loop in which its request is granted a worker.
    private fun releaseUnclaimedGrant(waiter: Waiter) {
        val decision = if (waiter.decision.isCompleted) waiter.decision.getCompleted() else return
        if (decision is DispatchDecision.Granted) decision.grant.release(Verdict.NotRun(RefusalReason.CANCELLED), null)
    }
}
