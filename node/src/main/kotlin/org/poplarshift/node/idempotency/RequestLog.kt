package org.poplarshift.node.idempotency

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.poplarshift.core.idempotency.RequestIndex
import org.poplarshift.core.idempotency.RequestRecord
import org.poplarshift.node.NodeContext
import org.poplarshift.node.log.GroupCommit
import org.poplarshift.node.log.LogFollower
import org.poplarshift.node.log.StreamWriter
import org.poplarshift.node.log.WriteResult
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.ReadResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson

/** Reads the stream `requests` into [index] and appends to it, with group commits that many requests share. */
class RequestLog(
    private val context: NodeContext,
    private val follower: LogFollower,
    private val timeoutMillis: Long = 2_000,
) {
    private val writer =
        StreamWriter(
            context.logService,
            LogStream.REQUESTS,
            context.incarnation,
            RequestRecord.serializer(),
            context.clock,
        )
    private val starts = GroupCommit(context.scope) { writer.write(group(it), timeoutMillis) }
    private val ends = GroupCommit(context.scope) {
        writer.write(group(it), StreamWriter.NO_TIMEOUT, retryRefused = true)
    }

    /** Index of the idempotency keys in the stream. */
    val index = RequestIndex()

    /** Number of appends since the node started. */
    val appendCount: Long
        get() = writer.appendCount

    /** Applies the records of the stream to [index] until cancelled. */
    suspend fun follow() = follower.follow { record ->
        val decoded = decode(record)
        if (decoded == null) index.skip(record.offset) else index.apply(record.offset, decoded)
    }

    /** Appends the start of a request. Stops retrying after the configured timeout. */
    suspend fun writeStart(record: RequestRecord): WriteResult = starts.submit(record)

    /** Appends the end of a request. Retries for as long as the log is unavailable. */
    suspend fun writeEnd(record: RequestRecord): WriteResult = ends.submit(record)

    /** Waits until the record at [offset] is in [index]. Returns false when the log cannot be read in time. */
    suspend fun awaitApplied(offset: Long): Boolean =
        withTimeoutOrNull(timeoutMillis) { follower.awaitApplied(offset) } != null

    /** Returns the response in the record at [offset], or null when the record cannot be read. */
    suspend fun readResponse(offset: Long, requestId: String): RequestRecord.RequestFinished? {
        val result = context.logService.read(LogStream.REQUESTS, offset, maximumRecords = 1)
        val logRecord = (result as? ReadResult.Records)?.records?.firstOrNull { it.offset == offset } ?: return null
        return flatten(decode(logRecord) ?: return null)
            .filterIsInstance<RequestRecord.RequestFinished>()
            .firstOrNull { it.requestId == requestId }
    }

    private fun flatten(record: RequestRecord): List<RequestRecord> =
        if (record is RequestRecord.RequestGroup) record.records else listOf(record)

    private fun group(records: List<RequestRecord>): RequestRecord =
        records.singleOrNull() ?: RequestRecord.RequestGroup(records)

    private fun decode(logRecord: LogRecord): RequestRecord? = try {
        WireJson.lenient.decodeFromString(ENVELOPE, logRecord.record).record
    } catch (exception: SerializationException) {
        log.warn { "idempotency: cannot decode record ${logRecord.offset}: ${exception.message}" }
        null
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ENVELOPE = LogEnvelope.serializer(RequestRecord.serializer())
    }
}
