package org.poplarshift.standins.http

/** Remembers load over time, so that a report can lag behind. Times are monotonic milliseconds. */
internal class LoadHistory {
    private val samples = ArrayDeque<LoadSample>()

    /** Notes the load from [nowMillis] on. */
    fun record(nowMillis: Long, running: Int, waiting: Int) {
        samples += LoadSample(nowMillis, running, waiting)
        while (samples.size > MAXIMUM_SAMPLES) samples.removeFirst()
    }

    /** The load that was in force at [timeMillis]. */
    fun at(timeMillis: Long): LoadSample =
        samples.lastOrNull { it.atMillis <= timeMillis } ?: LoadSample(timeMillis, 0, 0)

    private companion object {
        const val MAXIMUM_SAMPLES = 20_000
    }
}

/** The requests that ran and waited from [atMillis] on. */
internal data class LoadSample(val atMillis: Long, val running: Int, val waiting: Int)
