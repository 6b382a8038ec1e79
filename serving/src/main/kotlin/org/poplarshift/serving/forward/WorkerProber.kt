package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.serving.BackgroundTasks

/**
 * Excludes unreachable workers from dispatch and probes them with new connections until one succeeds.
 *
 * Open connections to a worker that has stopped responding still look usable. They are closed as soon as the worker is
 * suspected. Workers of an evacuated zone are probed once its evacuation has ended.
 */
class WorkerProber(
    private val tasks: BackgroundTasks,
    private val loadBalancer: LoadBalancer,
    private val connections: WorkerConnectionPool,
) {
    private val probedWorkers = HashSet<String>()

    /** Excludes [target] from dispatch and probes it until a connection succeeds. */
    fun markUnreachable(target: WorkerState) {
        val worker = target.worker
        target.onUnreachable()
        connections.closeIdle(worker.id)
        if (!probedWorkers.add(worker.id)) return
        logger.atInfo {
            message = "forward: worker can't be reached"
            payload = mapOf("worker" to worker.id, "address" to worker.address, "zone" to worker.zone)
        }
        tasks.launchOnce("worker probe") { probe(target) }
    }

    /** Excludes [target] from dispatch as [markUnreachable] does, unless too few workers of its service would remain. */
    fun ejectUnlessNeeded(target: WorkerState) {
        if (loadBalancer.mayEject(target)) markUnreachable(target)
    }

    /** Starts probing workers that became suspect through failed requests. */
    fun probeSuspects() {
        loadBalancer.workerStates
            .filter { it.isSuspect && it.worker.id !in probedWorkers }
            .forEach { markUnreachable(it) }
    }

    private suspend fun probe(target: WorkerState) {
        val id = target.worker.id
        try {
            var delayMillis = INITIAL_PROBE_DELAY_MILLIS
            delay(delayMillis)
            while (loadBalancer.workerStates.any { it === target }) {
                if (!target.isEvacuated && connections.open(target.worker)) {
                    target.onReachable()
                    logger.info { "forward: worker $id can be reached again" }
                    return
                }
                delay(delayMillis)
                delayMillis = minOf(delayMillis * 2, MAXIMUM_PROBE_DELAY_MILLIS)
            }
        } finally {
            probedWorkers.remove(id)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A worker that was reset can be reached again at once. A worker that is cut off from the network is probed
        // about once a second.
        const val INITIAL_PROBE_DELAY_MILLIS = 200L
        const val MAXIMUM_PROBE_DELAY_MILLIS = 800L
    }
}
