package org.poplarshift.verification.batch

import kotlinx.coroutines.delay
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.LogService
import org.poplarshift.ports.ReadResult

/** An in-memory log that counts appends and bytes. */
class CountingLog : LogService {
    private val streams = HashMap<String, ArrayList<String>>()

    /** Numbers of appends and of appended bytes by stream. */
    val appends = HashMap<String, Int>()
    val bytes = HashMap<String, Long>()

    /** Returns all records of [stream], ordered by offset. */
    fun records(stream: String): List<String> = synchronized(this) { streams[stream].orEmpty().toList() }

    override suspend fun append(stream: String, record: String): AppendResult = synchronized(this) {
        val records = streams.getOrPut(stream) { ArrayList() }
        records += record
        appends.merge(stream, 1, Int::plus)
        bytes.merge(stream, record.length.toLong(), Long::plus)
        AppendResult.Appended(records.size - 1L)
    }

    override suspend fun read(stream: String, fromOffset: Long, maximumRecords: Int, waitMillis: Long): ReadResult {
        var waitedMillis = 0L
        while (size(stream) <= fromOffset && waitedMillis < waitMillis) {
            delay(POLL_MILLIS)
            waitedMillis += POLL_MILLIS
        }
        return synchronized(this) {
            val records = streams[stream].orEmpty()
            val end = minOf(records.size.toLong(), fromOffset + maximumRecords)
            val read = (fromOffset until end).map { LogRecord(it, records[it.toInt()]) }
            ReadResult.Records(read, maxOf(fromOffset, end), 0)
        }
    }

    private fun size(stream: String): Int = synchronized(this) { streams[stream]?.size ?: 0 }

    private companion object {
        const val POLL_MILLIS = 5L
    }
}
