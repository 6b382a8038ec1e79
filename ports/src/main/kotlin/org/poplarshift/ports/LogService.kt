package org.poplarshift.ports

/**
 * The platform's append-only log. Each stream has its own offsets, which start at 0 and grow by one.
 *
 * The log accepts several hundred appends per second in total, retains records for a limited time and has outages.
 */
interface LogService {
    /** Appends [record], a line of JSON, to [stream]. */
    suspend fun append(stream: String, record: String): AppendResult

    /**
     * Reads at most [maximumRecords] records of [stream] starting at [fromOffset]. If there are none yet, the service
     * delays the response for up to [waitMillis] milliseconds.
     */
    suspend fun read(stream: String, fromOffset: Long, maximumRecords: Int, waitMillis: Long = 0): ReadResult
}
