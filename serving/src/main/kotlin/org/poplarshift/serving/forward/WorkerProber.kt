package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.core.dispatch.WorkerSeat

/**
 * Keeps workers that can't be reached out of use and tries new connections to them, so that no request has to.
 *
 * A worker that has gone silent looks alive on its open connections. They are closed as soon as it is suspect.
 */
class WorkerProber(
    private val scope: CoroutineScope,
    private val board: WorkerBoard,
    private val connections: WorkerConnectionPool,
) {
    private val probedWorkers = HashSet<String>()

    /** Takes [target] out of use until a connection to it succeeds. */
    fun markUnreachable(target: WorkerSeat) {
        val worker = target.worker
        target.onUnreachable()
        connections.closeIdle(worker.id)
        if (!probedWorkers.add(worker.id)) return
        logger.atInfo {
            message = "forward: worker can't be reached"
            payload = mapOf("worker" to worker.id, "address" to worker.address, "zone" to worker.zone)
        }
        scope.launch { probe(target) }
    }

    /** Takes workers out of use that requests have found failing. */
    fun probeSuspects() {
        board.all.filter { it.isSuspect && it.worker.id !in probedWorkers }.forEach { markUnreachable(it) }
    }

    private suspend fun probe(target: WorkerSeat) {
        val id = target.worker.id
        try {
            var delayMillis = INITIAL_PROBE_DELAY_MILLIS
            delay(delayMillis)
            while (board.all.any { it === target }) {
                val connection = connections.acquire(target.worker)
                if (connection != null) {
                    connections.release(connection, keepAliveMillis = null)
                    target.onAlive()
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

        // A worker that was reset is back at once; one that is cut off is tried about once a second.
        const val INITIAL_PROBE_DELAY_MILLIS = 200L
        const val MAXIMUM_PROBE_DELAY_MILLIS = 800L
    }
}
