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
 * Reads one partition, starting with the newest record of each key, and delivers the records in the order of their
 * offsets.
 *
 * Restarts from the newest record of each key if unread records have been deleted from the log.
 *
 * @param waitMillis the maximum time for which one read waits for a record
 * @param pauseMillis the pause after a read that returned records, so that the next read returns several at once
 * @param pages the gate that this follower shares with those of other large topics, or null if the topic is small
 */
class TopicFollower(
    private val log: PartitionedLog,
    private val clock: MonotonicClock,
    val topic: String,
    val partition: Int,
    private val receiver: RecordReceiver,
    private val waitMillis: Long,
    private val pauseMillis: Long = 0,
    private val pages: PageGate? = null,
) {
    private val started = CompletableDeferred<Unit>()
    private var next = NOT_STARTED
    private var pauseEnd = CompletableDeferred<Unit>()
    private var interrupt = CompletableDeferred<Unit>()

    /** Offset of the next record. All earlier records have been delivered. */
    val position: Long
        get() = next

    /** Whether the initial pass over the newest records is complete. */
    val isStarted: Boolean
        get() = next != NOT_STARTED

    /**
     * Time at which the last read that reached the end of the partition was sent, in monotonic milliseconds.
     *
     * All records that were in the log at this time have been delivered. The time at which the read returned says
     * nothing about that: the records may have been collected long before, by a waiting read or a slow log.
     */
    var upToDateMillis = Long.MIN_VALUE / 2
        private set

    /**
     * Time at which reads last succeeded again after a failure, in monotonic milliseconds.
     *
     * [Long.MIN_VALUE] if no read has failed.
     */
    var recoveredMillis = Long.MIN_VALUE
        private set

    /** Whether the last read failed. */
    var isFailing = false
        private set

    /** Waits until the initial pass is complete. */
    suspend fun awaitStart() = started.await()

    /** Ends the pause between reads immediately. Called when a record is expected. */
    fun skipPause() {
        pauseEnd.complete(Unit)
    }

    /** Cancels a waiting read and reads again immediately. Called when a record is known to be in the log. */
    fun restartRead() {
        logger.atWarn {
            message = "log: a waiting read has missed a record and is repeated"
            payload = mapOf("topic" to topic, "partition" to partition, "position" to next)
        }
        interrupt.complete(Unit)
        skipPause()
    }

    /** Reads the partition until cancelled. */
    suspend fun run() {
        var failures = 0
        while (true) {
            if (readOnce()) {
                failures = 0
                onSuccess()
            } else {
                onFailure()
                delay(minOf(FIRST_RETRY_MILLIS shl minOf(failures++, MAXIMUM_DOUBLINGS), MAXIMUM_RETRY_MILLIS))
            }
        }
    }

    private suspend fun readOnce(): Boolean = try {
        if (next == NOT_STARTED) readNewest() else readNext()
    } catch (error: OutOfMemoryError) {
        // Some of the records that were read may not have been applied.
        next = NOT_STARTED
        receiver.onRestart()
        reportFailure("$error")
    }

    private fun onSuccess() {
        if (!isFailing) return
        isFailing = false
        recoveredMillis = clock.millis()
        logger.atInfo {
            message = "log: reads of a topic succeed again"
            payload = mapOf("topic" to topic, "partition" to partition, "position" to next)
        }
    }

    private fun onFailure() {
        isFailing = true
    }

    private suspend fun readNewest(): Boolean {
        var sentMillis: Long
        val newest = HashMap<String, LogRecord>()
        var firstEnd = Long.MAX_VALUE
        var lastEnd = 0L
        var after: String? = null
        do {
            sentMillis = clock.millis()
            val page = when (val result = readLarge { log.newest(topic, partition, after) }) {
                is NewestResult.Page -> result
                is NewestResult.Unavailable -> return reportFailure(result.reason)
            }
            firstEnd = minOf(firstEnd, page.end)
            lastEnd = maxOf(lastEnd, page.end)
            page.records.forEach { newest[it.key] = receiver.shorten(it) }
            after = page.records.lastOrNull()?.key
        } while (page.hasMore && after != null)
        val end = when (val result = applyChanges(newest, firstEnd, lastEnd)) {
            is PagingResult.Consistent -> result.end
            is PagingResult.Failed -> return reportFailure(result.reason)
        }
        receiver.onRestart()
        newest.values.sortedBy { it.offset }.forEach { deliver(it) }
        next = end
        upToDateMillis = sentMillis
        receiver.onCaughtUp()
        started.complete(Unit)
        return true
    }

    private suspend fun <T> readLarge(read: suspend () -> T): T = if (pages == null) read() else pages.read(read)

    /**
     * Applies the records from offset [from] to [until] to the records [newest], which come from several pages.
     *
     * The pages are not a consistent snapshot: a key that was removed or replaced between two of them may be missing
     * although records that precede its removal are there. The ends of the pages enclose all such changes.
     */
    private suspend fun applyChanges(newest: HashMap<String, LogRecord>, from: Long, until: Long): PagingResult {
        var position = from
        while (position < until) {
            val result = when (val result = readLarge { log.read(topic, partition, position, waitMillis = 0) }) {
                is ReadResult.Records -> result
                is ReadResult.Trimmed -> return PagingResult.Failed("changes before ${result.first} were deleted")
                is ReadResult.Unavailable -> return PagingResult.Failed(result.reason)
            }
            if (result.next <= position) return PagingResult.Failed("a read ends at $position, before the pages")
            for (record in result.records) {
                val known = newest[record.key]
                if (known != null && known.offset > record.offset) continue
                if (record.isDeletion) newest.remove(record.key) else newest[record.key] = receiver.shorten(record)
            }
            position = result.next
        }
        return PagingResult.Consistent(position)
    }

    private suspend fun readNext(): Boolean {
        // After an outage, a waiting read would delay the detection of the recovery, because it may hang for its whole
        // wait time.
        val wait = if (isFailing) 0 else waitMillis
        var sentMillis = clock.millis()
        var result = readUnlessInterrupted(wait)
        if (result == null) {
            sentMillis = clock.millis()
            result = log.read(topic, partition, next, waitMillis = 0)
        }
        when (result) {
            is ReadResult.Records -> {
                result.records.forEach { deliver(it) }
                next = result.next
                if (next >= result.end) {
                    upToDateMillis = sentMillis
                    receiver.onCaughtUp()
                }
                if (result.records.isNotEmpty() && pauseMillis > 0) pause()
            }

            is ReadResult.Trimmed -> {
                logger.atWarn {
                    message = "log: records were deleted before they were read, restarting from the newest records"
                    payload =
                        mapOf("topic" to topic, "partition" to partition, "position" to next, "first" to result.first)
                }
                next = NOT_STARTED
            }

            is ReadResult.Unavailable -> return reportFailure(result.reason)
        }
        return true
    }

    /** Delivers [record]. A record that can't be applied must not keep the receiver from getting the others. */
    private fun deliver(record: LogRecord) {
        try {
            receiver.onRecord(record)
        } catch (exception: Exception) {
            reportRejected(record, exception)
        } catch (error: StackOverflowError) {
            reportRejected(record, error)
        }
    }

    private fun reportRejected(record: LogRecord, cause: Throwable) = logger.atError {
        message = "log: a record can't be applied and is skipped"
        payload = mapOf(
            "topic" to topic,
            "partition" to partition,
            "offset" to record.offset,
            "key" to record.key,
            "bytes" to record.valueBytes,
            "reason" to "$cause",
        )
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

    /** The outcome of bringing the pages of the newest records to one time. */
    private sealed interface PagingResult {
        /** The records are those of the time at which the partition ended at [end]. */
        data class Consistent(val end: Long) : PagingResult

        /** The changes between the pages can't be read. */
        data class Failed(val reason: String) : PagingResult
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val NOT_STARTED = -1L

        // Most failures are lost responses, so the first retry is fast. Later retries reduce the load on an unavailable
        // log.
        const val FIRST_RETRY_MILLIS = 50L
        const val MAXIMUM_RETRY_MILLIS = 400L
        const val MAXIMUM_DOUBLINGS = 3
    }
}
