package org.poplarshift.node.ownership

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.poplarshift.core.ownership.OwnershipRecord
import org.poplarshift.core.ownership.SlotKeeper
import org.poplarshift.node.NodeContext
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.ReadResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson

/**
 * Reads and appends the stream `ownership` for one [SlotKeeper].
 *
 * The reads are shorter than a quarter of the slot lease, because each read that reaches the end of the log confirms
 * the leases as of its beginning. The protocol's records have no second effect when they are in the log twice, so that
 * an append with an unknown outcome is simply followed by what the next reads show.
 */
class OwnershipLog(private val context: NodeContext, private val protocol: SlotKeeper) {
    private var sequence = 0L
    private var isInitialised = false
    private var hasGap = false

    /** Reads once, applies the records and waits a little when the log is unavailable. */
    suspend fun readOnce() {
        val startedMillis = context.clock.millis()
        val from = protocol.state.nextOffset
        when (val result = context.logService.read(LogStream.OWNERSHIP, from, MAXIMUM_RECORDS, WAIT_MILLIS)) {
            is ReadResult.Records -> accept(result, startedMillis)

            is ReadResult.Unavailable -> {
                log.debug { "ownership: the log can't be read: ${result.reason}" }
                delay(RETRY_MILLIS)
            }
        }
    }

    /** Appends [record]; returns whether it is certainly in the log. */
    suspend fun append(record: OwnershipRecord): Boolean {
        val envelope = LogEnvelope(context.incarnation, sequence++, record)
        val result = context.logService.append(LogStream.OWNERSHIP, WireJson.lenient.encodeToString(ENVELOPE, envelope))
        if (result !is AppendResult.Appended) log.warn { "ownership: $record was not appended: $result" }
        return result is AppendResult.Appended
    }

    private suspend fun accept(result: ReadResult.Records, startedMillis: Long) {
        if (!isInitialised) {
            protocol.begin(result.retentionStart)
            isInitialised = true
        }
        for (record in result.records.filter { it.offset >= protocol.state.nextOffset }) {
            if (record.offset > protocol.state.nextOffset) return reportGap()
            apply(record)
        }
        if (hasGap || result.retentionStart > protocol.state.nextOffset) return reportGap()
        val isAtEnd = result.records.size < MAXIMUM_RECORDS
        if (isAtEnd) protocol.readToEnd(startedMillis)
        val isShortRead = result.records.isEmpty() && context.clock.millis() - startedMillis < SHORTEST_READ_MILLIS
        if (isShortRead) delay(SHORTEST_READ_MILLIS)
    }

    private fun apply(record: LogRecord) {
        try {
            val decoded = WireJson.lenient.decodeFromString(ENVELOPE, record.record).record
            protocol.apply(record.offset, decoded, context.clock.millis())
        } catch (exception: SerializationException) {
            log.error { "ownership: record ${record.offset} is not readable: ${exception.message}" }
            protocol.skip(record.offset)
        }
    }

    /** A claim may be among the records that have left the retention unread; nothing is confirmed any more. */
    private suspend fun reportGap() {
        if (!hasGap) {
            log.error {
                "ownership: records have left the log's retention unread; this node must be restarted"
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
