package org.poplarshift.core.quarantine

import org.poplarshift.core.simulation.VirtualTime
import kotlin.random.Random

/** How the simulated nodes treat the requests of a dead worker. */
enum class SuspectPolicy {
    /** The rule of the product. */
    EXCLUSIVE_SUSPECTS,

    /** Broken: a suspect runs on a worker without other suspects, but beside requests that are sent for the first time. */
    ONE_SUSPECT_PER_WORKER,

    /** Broken: suspects run beside other requests. */
    SHARED_SUSPECTS,

    /** Broken: every request is blamed on the worker, and nothing is noted about requests. */
    WORKER_ONLY,
}

/** A request as a caller resends it. */
class SimulatedRequest(val fingerprint: String, val isCrashing: Boolean)

/** The response that a caller gets. */
enum class SimulatedResponse { DONE, FAILED, UNAVAILABLE, QUARANTINED }

/** Workers that some requests crash, and the nodes in front of them, in virtual time with delayed messages. */
class SimulatedFleet(val time: VirtualTime, val random: Random, val policy: SuspectPolicy) {
    private class Run(val node: SimulatedNode, val request: SimulatedRequest, val onEnd: (Boolean) -> Unit)

    private val running = WORKERS.associateWith { mutableListOf<Run>() }
    private val crashedWorkers = mutableSetOf<String>()

    val nodes = (1..NODES).map { SimulatedNode("node$it", this) }

    /** How many workers each request has crashed. */
    val crashes = mutableMapOf<String, Int>()

    fun usableWorkers(): List<String> = WORKERS.filter { it !in crashedWorkers }

    /** Workers on which a suspect runs, as if every node knew at once. */
    fun workersWithSuspects(): Set<String> = running.filterValues { runs ->
        runs.any { run ->
            nodes.any { it.table.statusOf(run.request.fingerprint, time.nowMillis) is SuspectStatus.Suspect }
        }
    }.keys

    /** Calls [onEnd] with true when the request completes and with false when its worker dies first. */
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
