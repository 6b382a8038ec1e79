package org.poplarshift.node.ownership

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.poplarshift.core.ownership.OwnershipProtocol
import org.poplarshift.core.ownership.OwnershipRecord
import org.poplarshift.node.NodeContext
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.ReadResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson

/**
 * Reads and appends the stream `ownership` for one [OwnershipProtocol].
 *
 * A read lasts less than a quarter of the slot lease, because each read that reaches the end of the log confirms the
 * leases as of the time at which it started. The protocol's records are idempotent, so an append with an unknown
 * outcome needs no special handling: the next reads show whether the record is in the log.
 */
class OwnershipLog(private val context: NodeContext, private val protocol: OwnershipProtocol) {
    private var sequence = 0L
    private var isInitialised = false
    private var hasGap = false

    /** Reads once and applies the records. Waits [RETRY_MILLIS] when the log is unavailable. */
    suspend fun readOnce() {
        val startedMillis = context.clock.millis()
        val from = protocol.state.nextOffset
        when (val result = context.logService.read(LogStream.OWNERSHIP, from, MAXIMUM_RECORDS, WAIT_MILLIS)) {
            is ReadResult.Records -> accept(result, startedMillis)

            is ReadResult.Unavailable -> {
                log.debug { "ownership: log is unavailable: ${result.reason}" }
                delay(RETRY_MILLIS)
            }
        }
    }

    /** Appends [record]. Returns true only when the log has confirmed the append. */
    suspend fun append(record: OwnershipRecord): Boolean {
        val envelope = LogEnvelope(context.incarnation, sequence++, record)
        val result = context.logService.append(LogStream.OWNERSHIP, WireJson.lenient.encodeToString(ENVELOPE, envelope))
        if (result !is AppendResult.Appended) log.warn { "ownership: append of $record was not confirmed: $result" }
        return result is AppendResult.Appended
    }

    private suspend fun accept(result: ReadResult.Records, startedMillis: Long) {
        if (!isInitialised) {
            protocol.startAt(result.retentionStart)
            isInitialised = true
        }
        for (record in result.records.filter { it.offset >= protocol.state.nextOffset }) {
            if (record.offset > protocol.state.nextOffset) return reportGap()
            apply(record)
        }
        if (hasGap || result.retentionStart > protocol.state.nextOffset) return reportGap()
        val isAtEnd = result.records.size < MAXIMUM_RECORDS
        if (isAtEnd) protocol.onReadToEnd(startedMillis)
        val isShortRead = result.records.isEmpty() && context.clock.millis() - startedMillis < SHORTEST_READ_MILLIS
        if (isShortRead) delay(SHORTEST_READ_MILLIS)
    }

    private fun apply(record: LogRecord) {
        try {
            val decoded = WireJson.lenient.decodeFromString(ENVELOPE, record.record).record
            protocol.apply(record.offset, decoded, context.clock.millis())
        } catch (exception: SerializationException) {
            log.error { "ownership: skipped undecodable record ${record.offset}: ${exception.message}" }
            protocol.skip(record.offset)
        }
    }

    /** Stops confirming leases, because the records that expired unread may include a claim of another node. */
    private suspend fun reportGap() {
        if (!hasGap) {
            log.error {
                "ownership: log records expired before this node read them; restart the node"
            }
        }
        hasGap = true
        delay(RETRY_MILLIS)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ENVELOPE = LogEnvelope.serializer(OwnershipRecord.serializer())
        const val MAXIMUM_RECORDS = 1_000
        const val WAIT_MILLIS = 1_000L
        const val RETRY_MILLIS = 300L
        const val SHORTEST_READ_MILLIS = 100L
    }
}
