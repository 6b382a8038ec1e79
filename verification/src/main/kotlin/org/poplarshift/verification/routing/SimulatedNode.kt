package org.poplarshift.verification.routing

import kotlinx.coroutines.ExperimentalCoroutinesApi
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.dispatch.DispatchDecision
import org.poplarshift.node.dispatch.DispatchSettings
import org.poplarshift.node.dispatch.DispatchTicket
import org.poplarshift.node.dispatch.TrackedWorker
import org.poplarshift.node.dispatch.WorkerGrant
import org.poplarshift.node.dispatch.WorkerPool
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.verification.fleet.VirtualTime
import kotlin.random.Random

/** A node that runs the production [WorkerPool] in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class SimulatedNode(
    upstream: Upstream,
    private val zone: String,
    settings: DispatchSettings,
    private val time: VirtualTime,
    random: Random,
) {
    private val pool = WorkerPool(
        upstream = upstream,
        localZone = zone,
        settings = settings,
        clock = MonotonicClock { nowMillis() },
        isHeld = { false },
        grant = { _, worker, _ -> grant(worker) },
        random = random,
    )

    /** Requests a worker. Calls [onDecision] once, with null if the ticket's deadline expires first. */
    fun acquire(ticket: DispatchTicket, onDecision: (DispatchDecision?) -> Unit) {
        val request = pool.offer(ticket)
        val decision = request.payload.decision
        decision.invokeOnCompletion { onDecision(decision.getCompleted()) }
        time.after(ticket.deadlineMillis * MICROS_PER_MILLI) {
            if (!decision.isCompleted) {
                pool.withdraw(request)
                onDecision(null)
            }
        }
        pool.dispatch()
    }

    /** Reads the load of [engine] every 500 ms and applies it to the pool [lagMillis] later. */
    fun poll(engine: SimulatedEngine, lagMillis: Long) {
        val report = engine.load()
        time.after(lagMillis * MICROS_PER_MILLI) {
            pool.workers.getValue(engine.worker).onReport(report, nowMillis())
            pool.dispatch()
        }
        time.after(POLL_PERIOD_MICROS) { poll(engine, lagMillis) }
    }

    /** Returns the one-way network delay to [worker]. */
    fun delayMicros(worker: Worker): Long = if (worker.zone == zone) SAME_ZONE_DELAY_MICROS else CROSS_ZONE_DELAY_MICROS

    private fun nowMillis(): Long = time.nowMicros / MICROS_PER_MILLI

    private fun grant(tracked: TrackedWorker): WorkerGrant {
        tracked.load.onDispatched(isBatch = false)
        return object : WorkerGrant {
            override val worker = tracked.worker

            override fun release(verdict: Verdict, firstByteMillis: Long?) {
                tracked.onEnded(isBatch = false, verdict, firstByteMillis, nowMillis())
                pool.dispatch()
            }
        }
    }

    private companion object {
        const val MICROS_PER_MILLI = 1_000L
        const val POLL_PERIOD_MICROS = 500_000L
        const val SAME_ZONE_DELAY_MICROS = 100L
        const val CROSS_ZONE_DELAY_MICROS = 1_500L
    }
}
