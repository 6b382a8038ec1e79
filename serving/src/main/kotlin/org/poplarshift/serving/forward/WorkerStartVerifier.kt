package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock

/**
 * Determines whether a connection leads to the process that a worker's registry entry describes.
 *
 * A worker may restart under its id and address with another software version before this node has read its new entry. A
 * connection belongs to one process, so one answer holds for as long as the connection is open. An earlier connection to
 * the same process that is still open shows as well that it has not ended.
 *
 * The worker is asked if a connection to it was lost or refused, if what this node has read of the registry is old because
 * the node was cut off from the log or stood still, and without an earlier connection where streams of several versions may exist.
 *
 * @param registryAsOfMillis returns when the read was sent that the registry is from, in monotonic milliseconds
 */
class WorkerStartVerifier(
    private val protocol: WorkerProtocol,
    private val clock: MonotonicClock,
    private val doubts: WorkerDoubts,
    private val registryAsOfMillis: () -> Long,
) {
    /** Monotonic times in milliseconds at which workers have answered without a start. */
    private val answeredMillis = HashMap<String, Long>()

    /** The latest connection to each worker whose process is known. */
    private val verified = HashMap<String, WorkerConnection>()

    /**
     * Determines the process behind [connection] to [worker].
     *
     * @param isCritical whether streams of several versions may exist, or the stream has begun at another time
     * @param timeoutMillis maximum time to wait for the worker's answer
     */
    suspend fun verify(
        connection: WorkerConnection,
        worker: FleetWorker,
        isCritical: Boolean,
        timeoutMillis: Long,
    ): WorkerStart {
        val doubt = doubts.of(worker.id)
        val isTrusted = doubt == null && isRegistryRecent() && (!isCritical || isConnected(worker))
        val known = connection.startedMillis ?: worker.startedMillis.takeIf { isTrusted }
            ?: return ask(connection, worker, doubt, timeoutMillis)
        onKnown(connection, known)
        return if (known == worker.startedMillis) WorkerStart.Registered else WorkerStart.Other
    }

    private fun isConnected(worker: FleetWorker): Boolean =
        verified[worker.id]?.let { !it.isClosed && it.startedMillis == worker.startedMillis } == true

    private fun onKnown(connection: WorkerConnection, startedMillis: Long) {
        connection.startedMillis = startedMillis
        verified.values.removeIf { it.isClosed }
        verified[connection.worker] = connection
    }

    /** Whether no connection to [worker] was lost, or the registry was read so long after that that it holds a new start. */
    fun isRegistryLaterThanDoubt(worker: FleetWorker): Boolean {
        val doubt = doubts.of(worker.id) ?: return true
        return registryAsOfMillis() >= doubt.sinceMillis + REGISTRATION_MILLIS
    }

    private fun isRegistryRecent() = clock.millis() - registryAsOfMillis() <= MAXIMUM_REGISTRY_AGE_MILLIS

    private suspend fun ask(
        connection: WorkerConnection,
        worker: FleetWorker,
        doubt: WorkerDoubts.Doubt?,
        timeoutMillis: Long,
    ): WorkerStart {
        val request = protocol.startRequest()
        if (request == null || !mayAnswer(worker, doubt)) return WorkerStart.NotStated
        val answer = WorkerStartProbe(connection, protocol).send(request, minOf(timeoutMillis, TIMEOUT_MILLIS))
        return when (answer) {
            is WorkerStartProbe.Answer.Stated -> {
                onKnown(connection, answer.startedMillis)
                onStated(worker, answer.startedMillis, doubt)
            }

            is WorkerStartProbe.Answer.NotStated -> {
                answeredMillis[worker.id] = clock.millis()
                logger.info { "forward: worker ${worker.id} does not state its start: ${answer.reason}" }
                if (answer.isReusable) WorkerStart.NotStated else WorkerStart.NoAnswer
            }

            is WorkerStartProbe.Answer.Missing -> {
                logger.info { "forward: worker ${worker.id} has not stated its start: ${answer.reason}" }
                WorkerStart.NoAnswer
            }
        }
    }

    // A worker that has restarted since it answered without a start may run software that states it.
    private fun mayAnswer(worker: FleetWorker, doubt: WorkerDoubts.Doubt?): Boolean {
        val answered = answeredMillis[worker.id] ?: return worker.startedMillis != NOT_REGISTERED
        return clock.millis() - answered > SILENCE_MILLIS || (doubt != null && doubt.sinceMillis > answered)
    }

    private fun onStated(worker: FleetWorker, startedMillis: Long, doubt: WorkerDoubts.Doubt?): WorkerStart {
        if (startedMillis == worker.startedMillis) {
            doubts.remove(worker.id, doubt)
            return WorkerStart.Registered
        }
        doubts.add(worker.id)
        logger.atInfo {
            message = "forward: worker has restarted and the registry does not say so yet"
            payload = mapOf("worker" to worker.id, "started" to startedMillis, "registered" to worker.startedMillis)
        }
        return WorkerStart.Other
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // The start of a worker whose registry entry states none.
        const val NOT_REGISTERED = 0L

        // Longer than a read of the registry and the pause after it take on a calm day.
        const val MAXIMUM_REGISTRY_AGE_MILLIS = 2_500L

        // Longer than workers take to renew their entries.
        const val REGISTRATION_MILLIS = 2_300L

        // Workers without this statement cost one question in this time.
        const val SILENCE_MILLIS = 30_000L

        // Many times the network delay between zones.
        const val TIMEOUT_MILLIS = 300L
    }
}
