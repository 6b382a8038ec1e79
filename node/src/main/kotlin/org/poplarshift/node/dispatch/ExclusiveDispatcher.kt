package org.poplarshift.node.dispatch

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.quarantine.HoldAttempt
import org.poplarshift.core.quarantine.HoldLimit
import org.poplarshift.core.quarantine.HoldResponse
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.core.quarantine.WorkerHold
import org.poplarshift.core.quarantine.WorkerHoldTable
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.NodeContext
import org.poplarshift.wire.QuarantineRequest
import kotlin.random.Random

/** Dispatches suspects to workers on which no other request runs, from this or any other node. */
class ExclusiveDispatcher(
    private val context: NodeContext,
    private val messenger: SuspectMessenger,
    private val quarantine: QuarantineService,
    private val settings: DispatchSettings,
    private val grant: (WorkerPool, TrackedWorker, String) -> WorkerGrant,
    private val onHoldChanged: (String) -> Unit,
) {
    private val holds = quarantine.holds

    /** Waits for a worker without other requests. Returns null when the request is no longer a suspect. */
    suspend fun acquire(pool: WorkerPool, ticket: DispatchTicket): DispatchDecision? {
        val deadline = context.clock.millis() + maxOf(ticket.deadlineMillis, settings.exclusiveWaitMillis)
        while (context.clock.millis() < deadline) {
            val excluded = when (val status = quarantine.statusOf(ticket.fingerprint)) {
                SuspectStatus.Clear -> return null
                SuspectStatus.Quarantined -> return DispatchDecision.Refused(RefusalReason.QUARANTINED, 0)
                is SuspectStatus.Suspect -> ticket.excludedWorkers + status.workers
            }
            if (pool.workers.keys.all { it in excluded }) break
            val worker = chooseWorker(pool, excluded)
            val granted = worker?.let { tryHold(pool, it, ticket, deadline) }
            if (granted != null) return DispatchDecision.Granted(granted)
            delay(Random.nextLong(MINIMUM_PAUSE_MILLIS, MAXIMUM_PAUSE_MILLIS))
        }
        return DispatchDecision.Refused(RefusalReason.NO_WORKER, WorkerPool.RETRY_AFTER_MILLIS)
    }

    private fun chooseWorker(pool: WorkerPool, excluded: Set<String>): TrackedWorker? {
        val now = context.clock.millis()
        val held = pool.workers.keys.count { holds.isHeld(it, now) }
        if (held >= HoldLimit.maximumHolds(pool.workers.size)) return null
        return pool.usable().filter { it.worker.id !in excluded }.minByOrNull { it.inFlight + it.load.onlineLoad(now) }
    }

    private suspend fun tryHold(
        pool: WorkerPool,
        worker: TrackedWorker,
        ticket: DispatchTicket,
        deadline: Long,
    ): WorkerGrant? {
        val hold = WorkerHold(worker.worker.id, context.settings.peersAddress, ticket.fingerprint)
        var granted: WorkerGrant? = null
        try {
            if (holds.place(hold, worker.inFlight, context.clock.millis()) == HoldResponse.Denied) return null
            onHoldChanged(hold.worker)
            if (awaitExclusiveUse(hold, worker, deadline)) {
                granted = ExclusiveGrant(grant(pool, worker, ticket.fingerprint), hold)
            }
        } finally {
            if (granted == null) release(hold)
        }
        return granted
    }

    private suspend fun awaitExclusiveUse(hold: WorkerHold, worker: TrackedWorker, deadline: Long): Boolean {
        val peers = messenger.addresses
        val attempt = HoldAttempt(hold, peers)
        while (context.clock.millis() < deadline && worker.health.isReachable(context.clock.millis())) {
            requestHold(attempt, peers)
            if (attempt.isDenied) return false
            if (attempt.mayRun(worker.inFlight)) return true
            delay(WorkerHoldTable.RENEWAL_MILLIS)
            holds.place(hold, worker.inFlight, context.clock.millis())
        }
        return false
    }

    private suspend fun requestHold(attempt: HoldAttempt, peers: Set<String>) {
        messenger.sendToAll(QuarantineRequest(hold = attempt.hold), peers).forEach { (peer, response) ->
            val holdResponse = response?.hold
            if (holdResponse == null) attempt.onUnreachable(peer) else attempt.onResponse(peer, holdResponse)
        }
    }

    private fun release(hold: WorkerHold) {
        holds.release(hold)
        onHoldChanged(hold.worker)
        context.scope.launch { messenger.sendToAll(QuarantineRequest(release = hold), messenger.addresses) }
    }

    /** Renews the hold until the suspect has finished. */
    private inner class ExclusiveGrant(private val inner: WorkerGrant, private val hold: WorkerHold) :
        WorkerGrant by inner {
        private val renewal: Job = context.scope.launch {
            while (isActive) {
                delay(WorkerHoldTable.DURATION_MILLIS / 5)
                holds.place(hold, 0, context.clock.millis())
                messenger.sendToAll(QuarantineRequest(hold = hold), messenger.addresses)
            }
        }

        override fun release(verdict: Verdict, firstByteMillis: Long?) {
            renewal.cancel()
            inner.release(verdict, firstByteMillis)
            release(hold)
        }
    }

    private companion object {
        const val MINIMUM_PAUSE_MILLIS = 50L
        const val MAXIMUM_PAUSE_MILLIS = 200L
    }
}
