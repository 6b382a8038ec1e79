package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.WorkerState

/**
 * Keeps workers that can't be reached out of use and tries new connections to them, so that no request has to.
 *
 * A worker that has gone silent looks alive on its open connections. They are closed as soon as it is suspect.
 */
class WorkerWatch(
    private val scope: CoroutineScope,
    private val board: LoadBalancer,
    private val connections: WorkerConnections,
) {
    private val watched = HashSet<String>()

    /** Takes [seat] out of use until a connection to it succeeds. */
    fun suspect(seat: WorkerState) {
        val worker = seat.worker
        seat.onUnreachable()
        connections.discard(worker.id)
        if (!watched.add(worker.id)) return
        logger.atInfo {
            message = "forward: worker can't be reached"
            payload = mapOf("worker" to worker.id, "address" to worker.address, "zone" to worker.zone)
        }
        scope.launch { watch(seat) }
    }

    /** Takes workers out of use that requests have found failing. */
    fun check() {
        board.workerStates.filter { it.isSuspect && it.worker.id !in watched }.forEach { suspect(it) }
    }

    private suspend fun watch(seat: WorkerState) {
        val id = seat.worker.id
        try {
            var pauseMillis = FIRST_PAUSE_MILLIS
            delay(pauseMillis)
            while (board.workerStates.any { it === seat }) {
                val connection = connections.open(seat.worker)
                if (connection != null) {
                    connections.keep(connection, idleMillis = null)
                    seat.onReachable()
                    logger.info { "forward: worker $id can be reached again" }
                    return
                }
                delay(pauseMillis)
                pauseMillis = minOf(pauseMillis * 2, LONGEST_PAUSE_MILLIS)
            }
        } finally {
            watched.remove(id)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A worker that was reset is back at once; one that is cut off is tried about once a second.
        const val FIRST_PAUSE_MILLIS = 200L
        const val LONGEST_PAUSE_MILLIS = 800L
    }
}
