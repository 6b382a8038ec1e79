package org.poplarshift.verification.routing

import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.dispatch.DispatchSettings
import org.poplarshift.node.dispatch.DispatchTicket
import org.poplarshift.node.dispatch.TrackedWorker
import org.poplarshift.node.dispatch.WorkerGrant
import org.poplarshift.node.dispatch.WorkerPool
import org.poplarshift.serving.MonotonicClock
import java.lang.management.ManagementFactory
import kotlin.random.Random

/** Measures the CPU time of a decision: a slot is released, a request is dispatched and another one is queued. */
object DispatchCost {
    private val threads = ManagementFactory.getThreadMXBean()

    /** Prints a table by policy, number of workers and number of queued organisations. */
    fun run(decisions: Int) {
        println("| policy | workers | queued organisations | CPU per decision, microseconds |")
        println("| --- | --- | --- | --- |")
        val policies = listOf(
            RoutingPolicyChoice.PowerOfTwo,
            RoutingPolicyChoice.PrefixAffinity,
            RoutingPolicyChoice.PeriodicWeights(),
        )
        val sizes = listOf(8 to 8, 84 to 8, 84 to 90, 84 to 590, 335 to 590, 670 to 8, 670 to 590)
        for (policy in policies) {
            for ((workers, organisations) in sizes) {
                measure(policy, workers, organisations, decisions)
                val micros = measure(policy, workers, organisations, decisions)
                println("| ${policy::class.simpleName} | $workers | $organisations | ${"%.1f".format(micros)} |")
            }
        }
    }

    private fun measure(policy: RoutingPolicyChoice, workers: Int, organisations: Int, decisions: Int): Double {
        val grants = ArrayDeque<WorkerGrant>()
        val pool = WorkerPool(
            upstream = upstream(workers),
            localZone = "zone0",
            settings = DispatchSettings(policy, queueLength = organisations + 1),
            clock = MonotonicClock { 0 },
            isHeld = { false },
            grant = { _, worker, _ -> grant(worker).also { grants += it } },
            random = Random(1),
        )
        repeat(workers * CAPACITY) {
            pool.offer(ticket(0))
            pool.dispatch()
        }
        repeat(organisations) { pool.offer(ticket(it)) }
        val started = threads.currentThreadCpuTime
        repeat(decisions) {
            grants.removeFirst().release(Verdict.Answered(200), 10)
            pool.dispatch()
            pool.offer(ticket(it % organisations))
        }
        return (threads.currentThreadCpuTime - started) / 1_000.0 / decisions
    }

    private fun grant(tracked: TrackedWorker): WorkerGrant {
        tracked.load.onDispatched(isBatch = false)
        return object : WorkerGrant {
            override val worker = tracked.worker

            override fun release(verdict: Verdict, firstByteMillis: Long?) =
                tracked.onEnded(isBatch = false, verdict, firstByteMillis, nowMillis = 0)
        }
    }

    private fun ticket(organisation: Int) =
        DispatchTicket("organisation$organisation", 1.0, 100, fingerprint = "", prefix = "prefix$organisation")

    private fun upstream(workers: Int) = Upstream(
        id = "block-writer",
        owner = "owner",
        kind = UpstreamKind.MODEL,
        workers = List(workers) { Worker("worker$it", "127.0.0.1:1", "zone${it % 8}", CAPACITY) },
        models = listOf("model"),
    )

    private const val CAPACITY = 16
}
