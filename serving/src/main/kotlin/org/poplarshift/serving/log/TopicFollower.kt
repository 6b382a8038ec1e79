package org.poplarshift.serving.log

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.MonotonicClock

/**
 * Reads one partition from the newest record of each key on and passes the records on in the order of their offsets.
 *
 * When records that it has not read are no longer kept, it starts again from the newest records.
 *
 * @param waitMillis how long one read may wait for a record
 * @param pauseMillis between two reads that returned records, to read several at once
 */
class TopicFollower(
    private val log: PartitionedLog,
    private val clock: MonotonicClock,
    val topic: String,
    val partition: Int,
    private val receiver: RecordReceiver,
    private val waitMillis: Long,
    private val pauseMillis: Long = 0,
) {
    private val started = CompletableDeferred<Unit>()
    private var next = NOT_STARTED
    private var pauseEnd = CompletableDeferred<Unit>()
    private var interrupt = CompletableDeferred<Unit>()

    /** Offset of the next record; all before it were passed on. */
    val position: Long
        get() = next

    /** Whether the first pass over the newest records is complete. */
    val isStarted: Boolean
        get() = next != NOT_STARTED

    /** Monotonic milliseconds of the last answer. */
    var lastReadMillis = Long.MIN_VALUE
        private set

    /** Monotonic milliseconds at which the log became available again after a failure; the past when it never failed. */
    var recoveredMillis = Long.MIN_VALUE
        private set

    /** Whether the last read failed. */
    var isFailing = false
        private set

    /** Waits for the end of the first pass. */
    suspend fun awaitStart() = started.await()

    /** Ends the pause between reads at once, because a record is expected. */
    fun skipPause() {
        pauseEnd.complete(Unit)
    }

    /** Gives up a read that waits and reads again at once, because a record is known to be there. */
    fun restartRead() {
        logger.atWarn {
            message = "log: a waiting read has missed a record and is repeated"
            payload = mapOf("topic" to topic, "partition" to partition, "position" to next)
        }
        interrupt.complete(Unit)
        skipPause()
    }

    /** Follows until it is cancelled. */
    suspend fun run() {
        var failures = 0
        while (true) {
            val isRead = if (next == NOT_STARTED) readNewest() else readNext()
            if (isRead) {
                failures = 0
                onSuccess()
            } else {
                onFailure()
                delay(minOf(FIRST_RETRY_MILLIS shl minOf(failures++, MAXIMUM_DOUBLINGS), MAXIMUM_RETRY_MILLIS))
            }
        }
    }

    private fun onSuccess() {
        lastReadMillis = clock.millis()
        if (!isFailing) return
        isFailing = false
        recoveredMillis = lastReadMillis
        logger.atInfo {
            message = "log: reads of a topic succeed again"
            payload = mapOf("topic" to topic, "partition" to partition, "position" to next)
        }
    }

    private fun onFailure() {
        isFailing = true
    }

    private suspend fun readNewest(): Boolean {
        val records = ArrayList<LogRecord>()
        var end = NOT_STARTED
        var after: String? = null
        do {
            val page = when (val result = log.newest(topic, partition, after)) {
                is NewestResult.Page -> result
                is NewestResult.Unavailable -> return reportFailure(result.reason)
            }
            // Pages are no snapshot: records that came after the first page was made are read from the log instead.
            if (end == NOT_STARTED) end = page.end
            records += page.records.filter { it.offset < end }
            after = page.records.lastOrNull()?.key
        } while (page.hasMore && after != null)
        receiver.onRestart()
        records.sortBy { it.offset }
        records.forEach { receiver.onRecord(it) }
        next = end
        receiver.onCaughtUp()
        started.complete(Unit)
        return true
    }

    private suspend fun readNext(): Boolean {
        // A call that waits is noticed late when the log returns from an outage, because it may hang all its time.
        val wait = if (isFailing) 0 else waitMillis
        when (val result = readUnlessInterrupted(wait) ?: log.read(topic, partition, next, waitMillis = 0)) {
            is ReadResult.Records -> {
                result.records.forEach { receiver.onRecord(it) }
                next = result.next
                if (next >= result.end) receiver.onCaughtUp()
                if (result.records.isNotEmpty() && pauseMillis > 0) pause()
            }

            is ReadResult.Trimmed -> {
                logger.atWarn {
                    message = "log: records were dropped before they were read, starting over"
                    payload =
                        mapOf("topic" to topic, "partition" to partition, "position" to next, "first" to result.first)
                }
                next = NOT_STARTED
            }

            is ReadResult.Unavailable -> return reportFailure(result.reason)
        }
        return true
    }

    private suspend fun readUnlessInterrupted(wait: Long): ReadResult? = coroutineScope {
        interrupt = CompletableDeferred()
        val reading = async { log.read(topic, partition, next, wait) }
        select {
            reading.onAwait { it }
            interrupt.onAwait {
                reading.cancel()
                null
            }
        }
    }

    private suspend fun pause() {
        withTimeoutOrNull(pauseMillis) { pauseEnd.await() }
        if (pauseEnd.isCompleted) pauseEnd = CompletableDeferred()
    }

    private fun reportFailure(reason: String): Boolean {
        if (!isFailing) {
            logger.atWarn {
                message = "log: a topic can't be read"
                payload = mapOf("topic" to topic, "partition" to partition, "position" to next, "reason" to reason)
            }
        }
        return false
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val NOT_STARTED = -1L

        // The first retry is quick because most failures are lost answers; later ones spare a log that is down.
        const val FIRST_RETRY_MILLIS = 50L
        const val MAXIMUM_RETRY_MILLIS = 400L
        const val MAXIMUM_DOUBLINGS = 3
    }
}
