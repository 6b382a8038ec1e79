package org.poplarshift.serving.log

import org.poplarshift.core.submission.KeyedValue

/**
 * A log whose records have keys, in topics of numbered partitions. The newest record of each key is kept for good, older
 * ones for a while.
 */
interface PartitionedLog {
    /** Appends [records] all or nothing. A record without a value removes its key. */
    suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult

    /** Records from offset [from] on; waits up to [waitMillis] for the first. */
    suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult

    /** The newest record of each key after [afterKey], a page at a time. */
    suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult

    /** The largest value of a record in bytes. */
    val maximumValueBytes: Int

    /** The most bytes of values that one append takes. */
    val maximumAppendBytes: Int
}

/** A record of a partition; an empty [value] tells that the key was removed. */
class LogRecord(val offset: Long, val key: String, val value: ByteArray)

/** The outcome of an append. */
sealed interface AppendResult {
    /** The records stand from [offset] on. */
    data class Appended(val offset: Long) : AppendResult

    /** Nothing was appended and nothing will be. */
    data class Refused(val reason: String) : AppendResult

    /** The records may stand in the log already or appear seconds later. */
    data class Unknown(val reason: String) : AppendResult
}

/** The outcome of a read. */
sealed interface ReadResult {
    /** @property end the offset after the newest record of the partition */
    class Records(val records: List<LogRecord>, val next: Long, val end: Long) : ReadResult

    /** Records before [first] are no longer kept. */
    data class Trimmed(val first: Long) : ReadResult

    /** The log can't be read now. */
    data class Unavailable(val reason: String) : ReadResult
}

/** The outcome of a read of the newest records. */
sealed interface NewestResult {
    /**
     * @property end the offset after the newest record when the page was made
     * @property hasMore whether another page follows
     */
    class Page(val records: List<LogRecord>, val end: Long, val hasMore: Boolean) : NewestResult

    /** The log can't be read now. */
    data class Unavailable(val reason: String) : NewestResult
}
