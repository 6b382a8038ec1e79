package org.poplarshift.standins.store

import java.util.TreeMap

/** One partition of a keyed topic: a log that also retains the newest record of each key. */
internal class StoredPartition {
    private val records = ArrayDeque<StoredRecord>()
    private val newestByKey = TreeMap<String, StoredRecord>()
    private val waitingReads = ArrayList<() -> Unit>()

    /** Offset of the oldest record that can be read in order. */
    var firstOffset = 0L
        private set

    /** Offset of the next record. */
    val end: Long
        get() = firstOffset + records.size

    /** Appends [values] and returns the offset of the first one. */
    fun append(values: List<StoredValue>): Long {
        val offset = end
        for (value in values) {
            val record = StoredRecord(end, value)
            records.addLast(record)
            if (value.content.isEmpty()) newestByKey.remove(value.key) else newestByKey[value.key] = record
        }
        val reads = waitingReads.toList()
        waitingReads.clear()
        reads.forEach { it() }
        return offset
    }

    /** Returns records from offset [from] on, at least one if there is one, with up to [maximumBytes]. */
    fun read(from: Long, maximumBytes: Int): List<StoredRecord> {
        val page = ArrayList<StoredRecord>()
        var bytes = 0
        for (index in (from - firstOffset).toInt() until records.size) {
            val size = records[index].value.content.size
            if (page.isNotEmpty() && bytes + size > maximumBytes) break
            page += records[index]
            bytes += size
        }
        return page
    }

    /** Returns up to [limit] newest records with keys greater than [after]. */
    fun newest(after: String, limit: Int): List<StoredRecord> = newestByKey.tailMap(after, false).values.take(limit)

    /** Deletes all records in order; the newest of each key remain. */
    fun forgetHistory() {
        firstOffset = end
        records.clear()
    }

    /** Calls [action] after the next append. */
    fun onNextAppend(action: () -> Unit) {
        waitingReads += action
    }
}

/** A key and its content; an empty content deletes the key. */
internal class StoredValue(val key: String, val content: ByteArray)

/** A value at its offset. */
internal class StoredRecord(val offset: Long, val value: StoredValue)
