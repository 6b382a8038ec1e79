package org.poplarshift.standins.platform

import kotlinx.serialization.Serializable

/** One stream of the log. Offsets start at 0 and increase by one; retention drops the oldest records. */
internal class StoredStream {
    private val records = ArrayDeque<StoredRecord>()
    private var endOffset = 0L

    /** Appends [record] and returns its offset. */
    fun append(record: String, nowMillis: Long): Long {
        records += StoredRecord(endOffset, record, nowMillis)
        return endOffset++
    }

    /** Drops all but the newest [maximumRecords] records and all records older than [maximumAgeMillis]. */
    fun trim(maximumRecords: Int?, maximumAgeMillis: Long?, nowMillis: Long) {
        while (maximumRecords != null && records.size > maximumRecords) records.removeFirst()
        while (maximumAgeMillis != null && (records.firstOrNull()?.age(nowMillis) ?: 0) > maximumAgeMillis) {
            records.removeFirst()
        }
    }

    /** Reads at most [limit] records from [fromOffset] on, or from the oldest retained record if that is later. */
    fun read(fromOffset: Long, limit: Int): ReadBody {
        val retentionStart = records.firstOrNull()?.offset ?: endOffset
        val start = maxOf(fromOffset, retentionStart)
        val index = (start - retentionStart).coerceAtMost(records.size.toLong()).toInt()
        val found = records.subList(index, minOf(records.size, index + limit)).map { RecordBody(it.offset, it.record) }
        return ReadBody(found, nextOffset = start + found.size, retentionStart = retentionStart)
    }

    private data class StoredRecord(val offset: Long, val record: String, val atMillis: Long) {
        fun age(nowMillis: Long) = nowMillis - atMillis
    }
}

/** The response of a read. */
@Serializable
internal data class ReadBody(val records: List<RecordBody>, val nextOffset: Long, val retentionStart: Long)

/** A record in the response of a read. */
@Serializable
internal data class RecordBody(val offset: Long, val record: String)

/** The response of an append. */
@Serializable
internal data class AppendBody(val offset: Long)
