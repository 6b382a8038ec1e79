package org.poplarshift.node.batch

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.node.NodeContext
import org.poplarshift.node.WallClock
import org.poplarshift.node.log.LogFollower
import org.poplarshift.node.log.StreamWriter
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.ReadResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson

/** The stream `batch` at this node: its index, its writer and reads by offset. */
class BatchLog(
    private val context: NodeContext,
    private val follower: LogFollower,
    private val wallClock: WallClock = WallClock.SYSTEM,
) {
    private val listeners = mutableListOf<(BatchResult) -> Unit>()
    private val changes = MutableStateFlow(0L)

    /** All jobs. It is replaced when records were missed, so callers must not keep references to it or to its jobs. */
    var index = BatchIndex()
        private set

    val writer =
        StreamWriter(context.logService, LogStream.BATCH, context.incarnation, BatchRecord.serializer(), context.clock)

    /** Changes whenever records were applied. */
    val nextOffset: StateFlow<Long> = changes

    /** Calls [listener] with the effect of each record. */
    fun addListener(listener: (BatchResult) -> Unit) {
        listeners += listener
    }

    /** Applies the stream until cancelled. */
    suspend fun follow() = follower.follow { record ->
        if (record.offset > index.nextOffset) restart(record.offset)
        val decoded = if (isBodiesOnly(record.record)) null else decode(record)
        if (decoded == null) {
            index.skip(record.offset)
        } else {
            val result = index.apply(record.offset, decoded)
            listeners.forEach { it(result) }
        }
        changes.value = index.nextOffset
    }

    /** Removes jobs whose results are no longer readable. */
    fun removeExpired() = index.removeExpired(wallClock.millis(), follower.retentionStart)

    /** Waits until the record at [offset] is in [index]. Returns false after [timeoutMillis]. */
    suspend fun awaitApplied(offset: Long, timeoutMillis: Long = APPLY_TIMEOUT_MILLIS): Boolean =
        withTimeoutOrNull(timeoutMillis) { follower.awaitApplied(offset) } != null

    /**
     * Waits until [index] contains all records that were in the log at the time of the call. Returns false when the log
     * is unavailable or more records are missing than one read returns.
     */
    suspend fun catchUp(): Boolean {
        val from = follower.nextOffset
        val result =
            context.logService.read(LogStream.BATCH, from, MAXIMUM_RECORDS) as? ReadResult.Records ?: return false
        val last = result.records.lastOrNull()?.offset ?: return result.nextOffset <= follower.nextOffset
        return result.records.size < MAXIMUM_RECORDS && awaitApplied(last)
    }

    /** Reads the record at [offset]. Returns null when the log does not return it or it cannot be decoded. */
    suspend fun read(offset: Long): BatchRecord? {
        val result = context.logService.read(LogStream.BATCH, offset, maximumRecords = 1)
        val record = (result as? ReadResult.Records)?.records?.firstOrNull { it.offset == offset }
        return record?.let(::decode)
    }

    private fun restart(offset: Long) {
        if (index.nextOffset > 0) log.warn { "batch: retention removed unread records ${index.nextOffset} to $offset" }
        index = BatchIndex(firstOffset = offset)
    }

    // Item bodies make up most of the stream. Matching the type at the beginning of a record avoids decoding them.
    private fun isBodiesOnly(line: String): Boolean {
        val type = line.indexOf(BODIES_TYPE)
        return type in 0..HEADER_CHARACTERS
    }

    // The decoder throws this type both for malformed JSON and for values that a constructor rejects.
    private fun decode(record: LogRecord): BatchRecord? = try {
        WireJson.lenient.decodeFromString(ENVELOPE, record.record).record
    } catch (exception: IllegalArgumentException) {
        log.warn { "batch: skipping record ${record.offset}, which cannot be decoded: ${exception.message}" }
        null
    }

    companion object {
        private val log = KotlinLogging.logger {}
        private val ENVELOPE = LogEnvelope.serializer(BatchRecord.serializer())
        private const val BODIES_TYPE = "\"record\":{\"type\":\"itemsUploaded\""
        private const val HEADER_CHARACTERS = 256

        /** The limit of records of up to 256 KB per read, which keeps a read far below the heap size of a node. */
        const val MAXIMUM_RECORDS = 32
        private const val APPLY_TIMEOUT_MILLIS = 5_000L
    }
}
