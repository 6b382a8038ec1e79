package org.poplarshift.ports

/** The outcome of a read. */
sealed interface ReadResult {
    /**
     * Records in the order of their offsets.
     *
     * @property nextOffset the offset at which the next read continues
     * @property retentionStart the oldest offset that the service still retains
     */
    data class Records(val records: List<LogRecord>, val nextOffset: Long, val retentionStart: Long) : ReadResult

    /** There was no response, or it was not valid. */
    data class Unavailable(val reason: String) : ReadResult
}
