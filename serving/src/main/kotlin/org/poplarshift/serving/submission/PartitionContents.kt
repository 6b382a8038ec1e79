package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.sync.withPermit
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.core.submission.PartKey
import org.poplarshift.core.submission.RecordContent
import org.poplarshift.core.submission.RecordPart
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.NewestResult
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult

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
    private val separateReads = Semaphore(SEPARATE_READS)

    /** The outcome of writing a content. */
    sealed interface Written {
        /** The content is in the log at [places]. */
        data class Stored(val places: List<RecordPart>) : Written

        /** The log has refused the content or a part of it. */
        data class Refused(val reason: String) : Written

        /** The places of the content are not known. */
        data object Unknown : Written
    }

    /** Keeps a record that has been read for other reasons. */
    fun keep(record: LogRecord) = cache.add(partition, record.offset, record.value)

    /** Writes the parts of a content to the topic of contents, in calls of [appends]. */
    suspend fun write(appends: List<List<KeyedValue>>): Written {
        val places = ArrayList<RecordPart>()
        for (records in appends) {
            when (val result = log.append(separateTopic, partition, records)) {
                is AppendResult.Appended -> records.forEachIndexed { index, record ->
                    val offset = result.offset + index
                    places += RecordPart(record.key, offset, record.value.size, isSeparate = true)
                    cache.add(partition, offset, record.value, isSeparate = true)
                }

                is AppendResult.Refused -> return Written.Refused(result.reason)
                is AppendResult.Unknown -> return Written.Unknown
            }
        }
        return Written.Stored(places)
    }

    /** Removes the contents with [keys]. Returns whether that succeeds. */
    suspend fun remove(keys: List<String>): Boolean {
        if (keys.isEmpty()) return true
        return log.append(separateTopic, partition, keys.map { KeyedValue(it, ByteArray(0)) }) is AppendResult.Appended
    }

    /** Returns the bytes of [content], or null if the log can't be read at present. */
    suspend fun read(content: RecordContent): ByteArray? {
        val values = content.parts.map { find(it) ?: readOnce(it) ?: return null }
        return content.extract(values)
    }

    private suspend fun readOnce(part: RecordPart): ByteArray? = if (part.isSeparate) {
        separateReads.withPermit { find(part) ?: readPart(part) }
    } else {
        reading.withLock { find(part) ?: readPart(part) }
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
        val found = records.firstOrNull { it.key == part.key && it.offset == part.offset } ?: return null
        val value = found.value.takeIf { it.size == part.bytes } ?: return null
        cache.add(partition, part.offset, value, part.isSeparate)
        return value
    }

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

        // Outputs of a page are read at the same time. Bounds the memory of the responses.
        const val SEPARATE_READS = 8
    }
}
