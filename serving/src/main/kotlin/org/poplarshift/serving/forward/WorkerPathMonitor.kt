package org.poplarshift.serving.forward

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.peer.DirectPath

/**
 * Finds out whether this node is cut off from all workers when one of them can't be reached, and when that has ended.
 *
 * Requests reach only a few workers in a short time, and a connection may be silent for a second before a request gives
 * it up. Connections to other workers tell the failure of one worker from the loss of all.
 *
 * @param direct opens direct connections
 */
class WorkerPathMonitor(
    private val tasks: BackgroundTasks,
    private val workers: LoadBalancer,
    private val direct: WorkerConnector,
    private val connections: WorkerConnectionPool,
    private val path: DirectPath,
) {
    private var isChecking = false

    /** Called when a worker can't be reached or does not respond in time. */
    fun onSuspicion() {
        if (!path.isUsable || isChecking || path.hasSucceededWithin(CHECK_INTERVAL_MILLIS)) return
        isChecking = true
        tasks.launchOnce("path check") {
            try {
                val succeededMillis = path.succeededMillis
                val isCutOff = !reachesAny() && path.succeededMillis == succeededMillis
                if (isCutOff) path.onFailure()
            } finally {
                isChecking = false
            }
        }
    }

    /** Detects that workers can be reached again, until cancelled. */
    suspend fun run() {
        while (true) {
            delay(TRIAL_INTERVAL_MILLIS)
            if (!path.isUsable) {
                usable.shuffled().take(TRIAL_WORKERS).forEach { trial ->
                    direct.connect(trial.worker) { it.socket.close() }
                }
            }
        }
    }

    // Most failures are those of a single worker, which one connection to another one shows.
    private suspend fun reachesAny(): Boolean {
        val candidates = candidates()
        val first = candidates.firstOrNull() ?: return true
        if (connections.open(first)) return true
        return coroutineScope {
            candidates.drop(1).take(CHECKED_WORKERS).map { async { connections.open(it) } }.awaitAll().any { it }
        }
    }

    private val usable: List<WorkerState>
        get() = workers.workerStates.filter { !it.worker.isDraining && !it.isLeaving && !it.isEvacuated }

    /** One worker of each service by turns, and first those that are not known to have failed. */
    private fun candidates(): List<FleetWorker> {
        val byService = usable.shuffled().groupBy { it.worker.service }.values.sortedBy { it.size }
        val rounds = byService.maxOfOrNull { it.size } ?: 0
        val byTurns = (0 until rounds).flatMap { round -> byService.mapNotNull { it.getOrNull(round) } }
        return byTurns.sortedBy { it.isSuspect }.map { it.worker }
    }

    private companion object {
        // Several workers may crash together, and those that remain must not be overlooked.
        const val CHECKED_WORKERS = 8

        // Limits the connections for checks while a single worker is away.
        const val CHECK_INTERVAL_MILLIS = 1_000L
        const val TRIAL_INTERVAL_MILLIS = 400L
        const val TRIAL_WORKERS = 2
    }
}
