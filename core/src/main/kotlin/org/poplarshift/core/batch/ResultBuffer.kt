package org.poplarshift.core.batch

/**
 * Buffers the results of one job, so that many results share an append.
 *
 * @param lingerMillis how long the first result waits for further results
 */
class ResultBuffer(
    val uploadId: String,
    private val maximumResults: Int = MAXIMUM_RESULTS,
    private val maximumBytes: Int = MAXIMUM_BYTES,
    private val lingerMillis: Long = LINGER_MILLIS,
) {
    private val results = ArrayDeque<Pair<ItemResult, Int>>()
    private var firstMillis = 0L
    private var bytes = 0

    val size: Int
        get() = results.size

    /** Adds a result of about [resultBytes] bytes at the monotonic time [nowMillis]. */
    fun add(result: ItemResult, resultBytes: Int, nowMillis: Long) {
        if (results.isEmpty()) firstMillis = nowMillis
        results += result to resultBytes
        bytes += resultBytes
    }

    /** The monotonic time in milliseconds at which the buffer is due for an append, or null if it is empty. */
    fun dueMillis(): Long? = when {
        results.isEmpty() -> null
        results.size >= maximumResults || bytes >= maximumBytes -> firstMillis
        else -> firstMillis + lingerMillis
    }

    /** Removes and returns the results for one append, in the order in which they were added. */
    fun take(): List<ItemResult> {
        val taken = mutableListOf<ItemResult>()
        var takenBytes = 0
        while (results.isNotEmpty() && taken.size < maximumResults) {
            val (result, resultBytes) = results.first()
            if (taken.isNotEmpty() && takenBytes + resultBytes > maximumBytes) break
            results.removeFirst()
            taken += result
            takenBytes += resultBytes
        }
        bytes -= takenBytes
        return taken
    }

    companion object {
        const val MAXIMUM_RESULTS = 200
        const val MAXIMUM_BYTES = 256 * 1024
        const val LINGER_MILLIS = 200L
    }
}
