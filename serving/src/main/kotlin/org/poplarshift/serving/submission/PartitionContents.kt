package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.poplarshift.core.submission.PartKey
import org.poplarshift.core.submission.RecordContent
import org.poplarshift.core.submission.RecordPart
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.NewestResult
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult

/** Bodies and outputs of the submissions of one partition, read from the log when they are needed. */
class PartitionContents(
    private val log: PartitionedLog,
    private val topic: String,
    private val partition: Int,
    private val cache: ContentCache,
) {
    // A response of the log has up to a megabyte, which often contains the next record that is needed. One read at a
    // time bounds the memory and lets waiting callers find their record in the cache.
    private val reading = Mutex()

    /** Keeps a record that has been read for other reasons. */
    fun keep(record: LogRecord) = cache.add(partition, record.offset, record.value)

    /** Returns the bytes of [content], or null if the log can't be read at present. */
    suspend fun read(content: RecordContent): ByteArray? {
        val values = content.parts.map { find(it) ?: reading.withLock { find(it) ?: readPart(it) } ?: return null }
        return content.extract(values)
    }

    private fun find(part: RecordPart): ByteArray? = cache.find(partition, part.offset)

    private suspend fun readPart(part: RecordPart): ByteArray? =
        when (val result = log.read(topic, partition, part.offset, waitMillis = 0)) {
            is ReadResult.Records -> select(part, result.records) ?: readNewest(part)
            is ReadResult.Trimmed -> readNewest(part)
            is ReadResult.Unavailable -> reportFailure(part, result.reason)
        }

    // A record that is older than the log's retention is only available as the newest one of its key.
    private suspend fun readNewest(part: RecordPart): ByteArray? =
        when (val result = log.newest(topic, partition, PartKey.predecessor(part.key))) {
            is NewestResult.Page -> select(part, result.records) ?: reportFailure(part, "the key is not in the log")
            is NewestResult.Unavailable -> reportFailure(part, result.reason)
        }

    private fun select(part: RecordPart, records: List<LogRecord>): ByteArray? {
        // The requested record is added last, so that the other ones can't displace it.
        records.asReversed().filter { !it.isDeletion }.forEach { keep(it) }
        val found = records.firstOrNull { it.key == part.key && it.offset == part.offset } ?: return null
        return found.value.takeIf { it.size == part.bytes }?.also { keep(found) }
    }

    private fun reportFailure(part: RecordPart, reason: String): ByteArray? {
        logger.atInfo {
            message = "submission: a body or an output can't be read from the log"
            payload = mapOf(
                "topic" to topic,
                "partition" to partition,
                "offset" to part.offset,
                "key" to part.key,
                "reason" to reason,
            )
        }
        return null
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
