package org.poplarshift.node.batch

import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.dispatch.BatchDecision
import org.poplarshift.node.dispatch.BatchWorkers
import org.poplarshift.node.dispatch.WorkerGrant

/** Gives batch what the catalogue's capacity and the reported demand leave, for a dispatcher that counts nothing. */
class CapacityBatchWorkers(private val store: ConfigurationStore) : BatchWorkers {
    private val batch = HashMap<String, Int>()
    private val demand = HashMap<String, Int>()
    private val listeners = mutableListOf<(String) -> Unit>()

    override fun onlineRunning(worker: String): Int = demand[worker] ?: 0

    override fun ownOnlineRunning(worker: String): Int = 0

    override fun batchRoom(worker: String, headroom: Int): Int {
        val capacity = workers().firstOrNull { it.id == worker }?.capacity ?: return 0
        return capacity - onlineRunning(worker) - headroom - (batch[worker] ?: 0)
    }

    override fun tryAcquire(upstream: Upstream, worker: String, fingerprint: String): BatchDecision {
        val found = upstream.workers.firstOrNull { it.id == worker }
        if (found == null || batchRoom(worker, headroom = 0) <= 0) return BatchDecision.NoRoom
        batch.merge(worker, 1, Int::plus)
        return BatchDecision.Granted(Grant(found))
    }

    override fun onPeerDemand(worker: String, running: Int) {
        demand[worker] = running
        listeners.forEach { it(worker) }
    }

    override fun onBatchAnnounced(worker: String, running: Int) = Unit

    override fun addListener(listener: (worker: String) -> Unit) {
        listeners += listener
    }

    private fun workers(): List<Worker> = store.current.value.catalogue?.upstreams.orEmpty().flatMap { it.workers }

    private inner class Grant(override val worker: Worker) : WorkerGrant {
        override fun release(verdict: Verdict, firstByteMillis: Long?) {
            batch.merge(worker.id, -1, Int::plus)
        }
    }
}
