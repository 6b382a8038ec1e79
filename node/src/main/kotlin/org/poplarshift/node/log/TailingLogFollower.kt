package org.poplarshift.node.log

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.LogService
import org.poplarshift.ports.ReadResult.Records
import org.poplarshift.ports.ReadResult.Unavailable
import org.poplarshift.serving.MonotonicClock

/** Follows [stream] by long polling and retries [retryMillis] milliseconds after a failed read. */
class TailingLogFollower(
    private val logService: LogService,
    private val stream: String,
    private val clock: MonotonicClock,
    private val waitMillis: Long = 5_000,
    private val retryMillis: Long = 500,
    private val maximumRecords: Int = 500,
) : LogFollower {
    private val applied = MutableStateFlow(0L)
    private var isUnavailable = false

    override val nextOffset: Long get() = applied.value

    override var lastReadStartedMillis: Long? = null
        private set

    override var retentionStart: Long = 0
        private set

    override suspend fun follow(apply: suspend (LogRecord) -> Unit) {
        while (currentCoroutineContext().isActive) {
            val startedMillis = clock.millis()
            when (val result = logService.read(stream, nextOffset, maximumRecords, waitMillis)) {
                is Records -> applyAll(result, startedMillis, apply)
                is Unavailable -> backOff(result)
            }
        }
    }

    override suspend fun awaitApplied(offset: Long) {
        applied.first { it > offset }
    }

    private suspend fun applyAll(result: Records, startedMillis: Long, apply: suspend (LogRecord) -> Unit) {
        if (isUnavailable) log.info { "log: stream $stream is readable again" }
        isUnavailable = false
        retentionStart = result.retentionStart
        for (record in result.records) {
            if (record.offset < nextOffset) continue
            applyOrSkip(record, apply)
            applied.value = record.offset + 1
        }
        applied.value = maxOf(nextOffset, result.nextOffset)
        lastReadStartedMillis = startedMillis
        // Prevents a tight loop when the log responds to a read without records at once.
        if (result.records.isEmpty() &&
            clock.millis() - startedMillis < MINIMUM_POLL_INTERVAL_MILLIS
        ) {
            delay(MINIMUM_POLL_INTERVAL_MILLIS)
        }
    }

    // Applying a record is deterministic, so every node skips the same records. If the follower stopped instead, this
    // node would keep an outdated configuration permanently.
    private suspend fun applyOrSkip(record: LogRecord, apply: suspend (LogRecord) -> Unit) {
        try {
            apply(record)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            log.error(exception) { "log: skipped record ${record.offset} of stream $stream: applying it failed" }
        }
    }

    private suspend fun backOff(result: Unavailable) {
        if (!isUnavailable) log.warn { "log: stream $stream can't be read, retrying: ${result.reason}" }
        isUnavailable = true
        delay(retryMillis)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MINIMUM_POLL_INTERVAL_MILLIS = 100L
    }
}
