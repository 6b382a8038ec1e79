package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.serving.MonotonicClock

/** Grants batch requests the capacity that online requests leave free at the workers in [pools]. */
class DefaultBatchWorkers(
    private val clock: MonotonicClock,
    private val pools: WorkerPools,
    private val statusOf: (String) -> SuspectStatus,
    private val isHeld: (String) -> Boolean,
    private val grant: (WorkerPool, TrackedWorker, String, Boolean) -> WorkerGrant,
) : BatchWorkers {
    private val listeners = mutableListOf<(String) -> Unit>()

    override fun onlineRunning(worker: String): Int {
        val tracked = pools.worker(worker) ?: return 0
        return maxOf(tracked.load.onlineLoad(clock.millis()), tracked.load.online + tracked.peerOnline)
    }

    override fun ownOnlineRunning(worker: String): Int = pools.worker(worker)?.load?.online ?: 0

    override fun batchRoom(worker: String, headroom: Int): Int {
        val pool = pools.all.firstOrNull { worker in it.workers } ?: return 0
        val tracked = pool.workers.getValue(worker)
        if (isHeld(worker)) return -tracked.load.batch
        val now = clock.millis()
        val room = tracked.load.batchRoom(tracked.worker.capacity, headroom, tracked.peerOnline, now)
        val isOpen = pool.waiting == 0 && pool.usable().any { it === tracked }
        return if (isOpen) room else minOf(room, 0)
    }

    override fun tryAcquire(upstream: Upstream, worker: String, fingerprint: String): BatchDecision {
        when (statusOf(fingerprint)) {
            SuspectStatus.Quarantined -> return BatchDecision.Quarantined
            is SuspectStatus.Suspect -> return BatchDecision.Suspect
            SuspectStatus.Clear -> Unit
        }
        val pool = pools.of(upstream)
        val tracked = pool.workers[worker]
        if (tracked == null || batchRoom(worker, headroom = 0) <= 0) return BatchDecision.NoRoom
        return BatchDecision.Granted(grant(pool, tracked, fingerprint, true))
    }

    override fun onPeerDemand(worker: String, running: Int) {
        val tracked = pools.worker(worker) ?: return
        tracked.peerOnline = running
        notifyListeners(worker)
    }

    override fun onBatchAnnounced(worker: String, running: Int) {
        pools.worker(worker)?.load?.onBatchAnnounced(running, clock.millis())
        pools.dispatch()
    }

    override fun addListener(listener: (worker: String) -> Unit) {
        listeners += listener
    }

    /** Notifies the listeners that the load or eligibility of [worker] may have changed. */
    fun notifyListeners(worker: String) = listeners.forEach { it(worker) }
}
