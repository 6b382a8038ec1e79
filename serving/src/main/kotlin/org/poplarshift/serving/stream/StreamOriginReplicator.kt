package org.poplarshift.serving.stream

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.StreamOriginTable
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.Backoff
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember

/**
 * Reports the origins of streams to [replica], again until it has acknowledged them.
 *
 * One report at a time is sent. Origins that are added meanwhile wait for the next one.
 *
 * @param waiting an empty table for the origins that are not acknowledged yet
 * @param allOrigins returns all origins that the replica is to hold, for one that has lost them by a restart
 */
internal class StreamOriginReplicator(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val peers: StreamOriginPeers,
    private val replica: FleetMember,
    private val waiting: StreamOriginTable,
    private val allOrigins: () -> Map<String, StreamOrigin>,
) {
    private val backoff = Backoff(FIRST_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS)
    private var isSending = false
    private var process: String? = null
    private var answeredMillis = Long.MIN_VALUE / 2

    /** Reports [origins], by stream, without waiting for the response. */
    fun add(origins: Map<String, StreamOrigin>) {
        if (origins.isEmpty()) return
        enqueue(origins)
        send()
    }

    /** Finds out whether the replica was restarted, unless it has responded within [intervalMillis]. */
    fun probe(intervalMillis: Long) {
        if (clock.millis() - answeredMillis >= intervalMillis) send()
    }

    /** Gives up the origins that the replica has not acknowledged. */
    fun close() = waiting.remove(waiting.recent(Long.MIN_VALUE).keys)

    private fun enqueue(origins: Map<String, StreamOrigin>) {
        val now = clock.millis()
        origins.forEach { (stream, origin) -> waiting.record(stream, origin, now) }
    }

    private fun send() {
        if (isSending) return
        isSending = true
        // The report is on its way before the caller gets the first event.
        tasks.launchOnce("stream origin report", CoroutineStart.UNDISPATCHED) {
            try {
                do {
                    sendBatch()
                    waiting.expire(clock.millis())
                } while (waiting.size > 0)
            } finally {
                isSending = false
            }
        }
    }

    private suspend fun sendBatch() {
        val batch = waiting.recent(Long.MIN_VALUE).entries.take(BATCH_STREAMS).associate { it.key to it.value }
        val answeringProcess = peers.report(replica, batch) ?: return delay(backoff.next())
        backoff.reset()
        answeredMillis = clock.millis()
        if (process != null && process != answeringProcess) enqueue(allOrigins())
        process = answeringProcess
        waiting.remove(batch.keys)
    }

    private companion object {
        // A killed process is back after a few seconds, a lost message is an exception.
        const val FIRST_RETRY_MILLIS = 50L
        const val MAXIMUM_RETRY_MILLIS = 1_000L

        // About 10 KB.
        const val BATCH_STREAMS = 500
    }
}
