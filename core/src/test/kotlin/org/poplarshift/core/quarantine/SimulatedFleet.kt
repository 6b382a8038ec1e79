package org.poplarshift.core.quarantine

import org.poplarshift.core.simulation.VirtualTime
import kotlin.random.Random

/** How the simulated nodes handle the requests that ran on a crashed worker. */
enum class SuspectPolicy {
    /** The policy of the production code: a suspect runs alone on a held worker. */
    EXCLUSIVE_SUSPECTS,

    /** Broken: a suspect shares its worker, but only with requests that are not suspects. */
    ONE_SUSPECT_PER_WORKER,

    /** Broken: suspects share workers with any other requests. */
    SHARED_SUSPECTS,

    /** Broken: every crash is attributed to the worker, and no strikes are recorded. */
    WORKER_ONLY,
}

/** A request that a caller may send several times. */
class SimulatedRequest(val fingerprint: String, val isCrashing: Boolean)

/** The response that a caller receives. */
enum class SimulatedResponse { DONE, FAILED, UNAVAILABLE, QUARANTINED }

/** Simulates nodes and workers that some requests crash, with virtual time and message delays. */
class SimulatedFleet(val time: VirtualTime, val random: Random, val policy: SuspectPolicy) {
    private class Run(val node: SimulatedNode, val request: SimulatedRequest, val onEnd: (Boolean) -> Unit)

    private val running = WORKERS.associateWith { mutableListOf<Run>() }
    private val crashedWorkers = mutableSetOf<String>()

    val nodes = (1..NODES).map { SimulatedNode("node$it", this) }

    /** The number of workers that each request has crashed, by fingerprint. */
    val crashes = mutableMapOf<String, Int>()

    fun usableWorkers(): List<String> = WORKERS.filter { it !in crashedWorkers }

    /** Returns the workers on which a suspect of any node runs, without message delays. */
    fun workersWithSuspects(): Set<String> = running.filterValues { runs ->
        runs.any { run ->
            nodes.any { it.table.statusOf(run.request.fingerprint, time.nowMillis) is SuspectStatus.Suspect }
        }
    }.keys

    /** Runs [request] on [worker]. Calls [onEnd] with true when it completes, or with false if the worker crashes. */
    fun start(node: SimulatedNode, request: SimulatedRequest, worker: String, onEnd: (Boolean) -> Unit) {
        val run = Run(node, request, onEnd)
        running.getValue(worker) += run
        time.after(random.nextLong(10, 1_500)) {
            if (running.getValue(worker).none { it === run }) return@after
            if (request.isCrashing) {
                crashes.merge(request.fingerprint, 1, Int::plus)
                kill(worker)
            } else {
                running.getValue(worker).removeIf { it === run }
                onEnd(true)
            }
        }
    }

    fun kill(worker: String) {
        if (!crashedWorkers.add(worker)) return
        val aborted = running.getValue(worker).toList()
        running.getValue(worker).clear()
        aborted.forEach { run -> time.after(random.nextLong(0, 5)) { run.onEnd(false) } }
        time.after(random.nextLong(500, 3_000)) { crashedWorkers -= worker }
    }

    /** Delivers a message after a random delay. */
    fun send(deliver: () -> Unit) = time.after(random.nextLong(1, MAXIMUM_DELAY_MILLIS), deliver)

    companion object {
        const val NODES = 4
        const val MAXIMUM_DELAY_MILLIS = 300L
        val WORKERS = (1..6).map { "worker$it" }
    }
}
