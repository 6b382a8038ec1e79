package org.poplarshift.ports

/** The outcome of a read. */
sealed interface ReadResult {
    /**
     * Records in the order of their offsets.
     *
     * @property nextOffset where the next read continues
     * @property retentionStart the oldest offset that the service still keeps
     */
    data class Records(val records: List<LogRecord>, val nextOffset: Long, val retentionStart: Long) : ReadResult

    /** The service gave no answer. */
    data class Unavailable(val reason: String) : ReadResult
}
