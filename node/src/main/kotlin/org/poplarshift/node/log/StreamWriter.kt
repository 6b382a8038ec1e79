package org.poplarshift.node.log

import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogService
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.WireJson

/**
 * Appends records to [stream]. A record keeps its producer and sequence number when its append is retried, so a
 * retry after an unknown outcome has no second effect. Each node has one writer per stream.
 *
 * @param producer the incarnation of this node
 */
class StreamWriter<Record>(
    private val logService: LogService,
    private val stream: String,
    private val producer: String,
    serializer: KSerializer<Record>,
    private val clock: MonotonicClock,
) {
    private val envelopes = LogEnvelope.serializer(serializer)
    private var sequence = 0L

    /** The number of appends, including retries. */
    var appendCount = 0L
        private set

    /** The bytes of all appends, including retries. */
    var appendedBytes = 0L
        private set

    /**
     * Appends [record] and retries until the outcome is known or [timeoutMillis] milliseconds have passed. An append
     * that is refused before any outcome was unknown is not retried, unless [retryRefused] is true.
     */
    suspend fun write(record: Record, timeoutMillis: Long, retryRefused: Boolean = false): WriteResult {
        val envelope = LogEnvelope(producer = producer, sequence = sequence++, record = record)
        val line = WireJson.lenient.encodeToString(envelopes, envelope)
        val deadline = clock.millis() + timeoutMillis
        var hasUnknownOutcome = false
        var backoffMillis = INITIAL_BACKOFF_MILLIS
        while (true) {
            val reason = when (val result = tryAppend(line)) {
                is AppendResult.Appended -> return WriteResult.Written(result.offset)
                is AppendResult.Unknown -> result.reason.also { hasUnknownOutcome = true }
                is AppendResult.Refused -> result.reason
            }
            val mayRetry = hasUnknownOutcome || retryRefused
            if (!mayRetry || clock.millis() + backoffMillis > deadline) return failureResult(hasUnknownOutcome, reason)
            delay(backoffMillis)
            backoffMillis = minOf(backoffMillis * 2, MAXIMUM_BACKOFF_MILLIS)
        }
    }

    private suspend fun tryAppend(line: String): AppendResult {
        appendCount++
        appendedBytes += line.length
        return logService.append(stream, line)
    }

    private fun failureResult(hasUnknownOutcome: Boolean, reason: String): WriteResult =
        if (hasUnknownOutcome) WriteResult.Unknown(reason) else WriteResult.NotWritten(reason)

    companion object {
        /** Timeout for records that must be retried until they are in the log. */
        const val NO_TIMEOUT = Long.MAX_VALUE / 2
        private const val INITIAL_BACKOFF_MILLIS = 50L
        private const val MAXIMUM_BACKOFF_MILLIS = 2_000L
    }
}
