package org.poplarshift.core.batch.sequence

import kotlin.random.Random

/** A log in virtual time whose appends may be lost, delayed, repeated or unacknowledged. */
class SimulatedLog<Record>(private val random: Random) {
    private class TimestampedRecord<Record>(val record: Record, val atMillis: Long)

    private val records = ArrayList<TimestampedRecord<Record>>()
    private val delayed = ArrayList<Record>()
    var isFaulty = true
    var retentionStart = 0L
        private set
    val end: Long
        get() = records.size.toLong()

    /** Appends [record]. Returns its offset, or null if the outcome is unknown. */
    fun append(record: Record, nowMillis: Long): Long? = when (if (isFaulty) random.nextInt(12) else -1) {
        0 -> null
        1 -> null.also { commit(record, nowMillis) }
        2 -> null.also { delayed += record }
        3 -> commit(record, nowMillis).also { commit(record, nowMillis) }
        else -> commit(record, nowMillis)
    }

    fun commitDelayed(nowMillis: Long) {
        if (delayed.isEmpty()) return
        commit(delayed.removeAt(random.nextInt(delayed.size)), nowMillis)
    }

    fun expire(nowMillis: Long) {
        while (retentionStart < end && records[retentionStart.toInt()].atMillis < nowMillis - RETENTION_MILLIS) {
            retentionStart++
        }
    }

    fun read(offset: Long): Record {
        check(offset >= retentionStart) { "offset $offset is before the retention start $retentionStart" }
        return records[offset.toInt()].record
    }

    private fun commit(record: Record, nowMillis: Long): Long {
        records += TimestampedRecord(record, nowMillis)
        return end - 1
    }

    companion object {
        const val RETENTION_MILLIS = 6 * 3_600_000L
    }
}
