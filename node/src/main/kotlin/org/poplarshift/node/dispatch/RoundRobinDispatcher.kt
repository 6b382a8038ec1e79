package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/** The baseline: workers in turn, without queue, capacity or health. */
class RoundRobinDispatcher : UpstreamDispatcher {
    private val turns = HashMap<String, Int>()

    override suspend fun acquire(upstream: Upstream, ticket: DispatchTicket): DispatchDecision {
        val candidates = upstream.workers.filterNot { it.id in ticket.excludedWorkers }
        if (candidates.isEmpty()) return DispatchDecision.Refused(RefusalReason.NO_WORKER, RETRY_AFTER_MILLIS)
        val turn = turns.merge(upstream.id, 1, Int::plus) ?: 0
        return DispatchDecision.Granted(Grant(candidates[turn.mod(candidates.size)]))
    }

    private class Grant(override val worker: Worker) : WorkerGrant {
        override fun release(verdict: Verdict, firstByteMillis: Long?) = Unit
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
