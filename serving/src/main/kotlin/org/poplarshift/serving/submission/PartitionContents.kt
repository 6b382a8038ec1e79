package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.core.submission.PartKey
import org.poplarshift.core.submission.RecordContent
import org.poplarshift.core.submission.RecordPart
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.NewestResult
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import java.util.TreeSet

/**
 * Bodies and outputs of the submissions of one partition, read from the log when they are needed.
 *
 * Large contents are in the topic [separateTopic], which no node follows. What all nodes read then grows with the number of
 * items and not with the size of their contents.
 */
class PartitionContents(
    private val log: PartitionedLog,
    private val topic: String,
    private val separateTopic: String,
    private val partition: Int,
    private val cache: ContentCache,
) {
    // A response of the log has up to a megabyte, which often contains the next record that is needed. One read at a
    // time bounds the memory and lets waiting callers find their record in the cache.
    private val reading = Mutex()

    /** The outcome of writing a content. */
    sealed interface Written {
        /** The content is in the log at [places]. */
        data class Stored(val places: List<RecordPart>) : Written

        /** The content can't be written. Parts of it may be in the log, where nothing refers to them. */
        data class Failed(val reason: String) : Written
    }

    /** Keeps a record that has been read for other reasons. */
    fun keep(record: LogRecord) = cache.add(partition, record.offset, record.value)

    /** Writes the parts of a content to the topic of contents, in calls of [appends]. */
    suspend fun write(appends: List<List<KeyedValue>>): Written {
        val places = ArrayList<RecordPart>()
        for (records in appends) {
            val offsets = when (val result = append(records)) {
                is OffsetsResult.Known -> result.offsets
                is OffsetsResult.Unknown -> return Written.Failed(result.reason)
            }
            records.zip(offsets) { record, offset ->
                places += RecordPart(record.key, offset, record.value.size, isSeparate = true)
                cache.add(partition, offset, record.value, isSeparate = true)
            }
        }
        return Written.Stored(places)
    }

    private sealed interface OffsetsResult {
        data class Known(val offsets: List<Long>) : OffsetsResult

        data class Unknown(val reason: String) : OffsetsResult
    }

    // A second copy is harmless, because only the stated offset, or the newest record of the key, is read.
    private suspend fun append(records: List<KeyedValue>): OffsetsResult {
        var reason = ""
        repeat(APPENDS) {
            when (val result = log.append(separateTopic, partition, records)) {
                is AppendResult.Appended -> return OffsetsResult.Known(records.indices.map { result.offset + it })
                is AppendResult.Refused -> return OffsetsResult.Unknown(result.reason)
                is AppendResult.Unknown -> reason = result.reason
            }
            findOffsets(records)?.let { return OffsetsResult.Known(it) }
        }
        return OffsetsResult.Unknown(reason)
    }

    /** Returns the offsets of [records] if all of them are in the log, although the response to their append was lost. */
    private suspend fun findOffsets(records: List<KeyedValue>): List<Long>? {
        val missing = records.mapTo(TreeSet()) { it.key }
        val offsets = HashMap<String, Long>()
        while (missing.isNotEmpty()) {
            val page = log.newest(separateTopic, partition, PartKey.predecessor(missing.first()))
            val found = (page as? NewestResult.Page)?.records.orEmpty().filter { missing.remove(it.key) }
            if (found.isEmpty()) return null
            found.associateTo(offsets) { it.key to it.offset }
        }
        return records.map { offsets.getValue(it.key) }
    }

    /** Removes the contents with [keys]. Returns whether that succeeds. */
    suspend fun remove(keys: List<String>): Boolean {
        if (keys.isEmpty()) return true
        return log.append(separateTopic, partition, keys.map { KeyedValue(it, ByteArray(0)) }) is AppendResult.Appended
    }

    /** Returns the bytes of [content], or null if the log can't be read at present. */
    suspend fun read(content: RecordContent): ByteArray? {
        val values = content.parts.map { find(it) ?: reading.withLock { find(it) ?: readPart(it) } ?: return null }
        return content.extract(values)
    }

    private fun find(part: RecordPart): ByteArray? = cache.find(partition, part.offset, part.isSeparate)

    private suspend fun readPart(part: RecordPart): ByteArray? {
        val result = if (part.isSeparate) {
            log.readAt(separateTopic, partition, part.offset, part.bytes)
        } else {
            log.read(topic, partition, part.offset, waitMillis = 0)
        }
        return when (result) {
            is ReadResult.Records -> select(part, result.records) ?: readNewest(part)
            is ReadResult.Trimmed -> readNewest(part)
            is ReadResult.Unavailable -> reportFailure(part, result.reason)
        }
    }

    // A record that is older than the log's retention is only available as the newest one of its key.
    private suspend fun readNewest(part: RecordPart): ByteArray? =
        when (val result = log.newest(topicOf(part), partition, PartKey.predecessor(part.key))) {
            is NewestResult.Page -> select(part, result.records) ?: reportFailure(part, "the key is not in the log")
            is NewestResult.Unavailable -> reportFailure(part, result.reason)
        }

    private fun select(part: RecordPart, records: List<LogRecord>): ByteArray? {
        // The requested record is added last, so that the other ones can't displace it.
        records.asReversed().filter { !it.isDeletion }.forEach { keep(it, part.isSeparate) }
        val found = records.firstOrNull { isPart(it, part) } ?: return null
        val value = found.value.takeIf { it.size == part.bytes } ?: return null
        cache.add(partition, part.offset, value, part.isSeparate)
        return value
    }

    // A repeated append may leave the same content at two offsets, of which the log keeps the newer one.
    private fun isPart(record: LogRecord, part: RecordPart): Boolean =
        record.key == part.key && (part.isSeparate || record.offset == part.offset)

    private fun keep(record: LogRecord, isSeparate: Boolean) =
        cache.add(partition, record.offset, record.value, isSeparate)

    private fun topicOf(part: RecordPart) = if (part.isSeparate) separateTopic else topic

    private fun reportFailure(part: RecordPart, reason: String): ByteArray? {
        logger.atInfo {
            message = "submission: a body or an output can't be read from the log"
            payload = mapOf(
                "topic" to topicOf(part),
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
        const val APPENDS = 2
    }
}
