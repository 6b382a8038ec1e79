package org.poplarshift.serving.log

import org.poplarshift.core.submission.KeyedValue

/**
 * A log of keyed records, organised in topics of numbered partitions.
 *
 * The newest record of each key is kept permanently, older records for a limited time.
 */
interface PartitionedLog {
    /** Appends all of [records] or none of them. A record with an empty value removes its key. */
    suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult

    /**
     * Appends all of [records] if the partition ends at offset [end]; otherwise none of them, and the result is
     * [AppendResult.Refused]. If the outcome is unknown, the condition still holds for a later execution.
     */
    suspend fun appendAt(topic: String, partition: Int, records: List<KeyedValue>, end: Long): AppendResult

    /** Returns the records from offset [from] on. Waits up to [waitMillis] for the first one. */
    suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult

    /**
     * Returns the record at [offset], whose value has [valueBytes], and possibly some that follow. Costs the log no more than
     * the record where it can limit a response.
     */
    suspend fun readAt(topic: String, partition: Int, offset: Long, valueBytes: Int): ReadResult =
        read(topic, partition, offset, waitMillis = 0)

    /** Returns a page with the newest record of each key after [afterKey], in the order of the keys. */
    suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult

    /** The maximum size of the value of a record, in bytes. */
    val maximumValueBytes: Int

    /** The maximum total size of the values in one append, in bytes. */
    val maximumAppendBytes: Int
}

/**
 * A record of a partition.
 *
 * @property value the value, or the beginning of it if a receiver has shortened the record
 * @property valueBytes the length of the whole value
 */
class LogRecord(val offset: Long, val key: String, val value: ByteArray, val valueBytes: Int = value.size) {
    /** Whether the record removes its key. */
    val isDeletion: Boolean
        get() = valueBytes == 0

    /** Whether [value] is only the beginning of the whole value. */
    val isShortened: Boolean
        get() = value.size < valueBytes
}

/** The outcome of an append. */
sealed interface AppendResult {
    /** The records were appended; the first one is at [offset]. */
    data class Appended(val offset: Long) : AppendResult

    /** The append was rejected. None of the records will appear in the log. */
    data class Refused(val reason: String) : AppendResult

    /** The records may already be in the log or may appear seconds later. */
    data class Unknown(val reason: String) : AppendResult
}

/** The outcome of a read. */
sealed interface ReadResult {
    /**
     * Records in the order of their offsets.
     *
     * @property next the offset from which the next read continues
     * @property end the offset after the newest record of the partition
     */
    class Records(val records: List<LogRecord>, val next: Long, val end: Long) : ReadResult

    /** The requested records have been deleted; [first] is the lowest offset that is available. */
    data class Trimmed(val first: Long) : ReadResult

    /** The log can't be read at present. */
    data class Unavailable(val reason: String) : ReadResult
}

/** The outcome of a read of the newest records. */
sealed interface NewestResult {
    /**
     * A page of the newest records, in the order of their keys.
     *
     * @property end the offset after the newest record at the time the page was created
     * @property hasMore whether another page follows
     */
    class Page(val records: List<LogRecord>, val end: Long, val hasMore: Boolean) : NewestResult

    /** The log can't be read at present. */
    data class Unavailable(val reason: String) : NewestResult
}
