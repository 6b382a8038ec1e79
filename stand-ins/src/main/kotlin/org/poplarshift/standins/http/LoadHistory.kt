package org.poplarshift.standins.http

/** Stores past load samples, so that a load report can be delayed. Times are monotonic milliseconds. */
internal class LoadHistory {
    private val samples = ArrayDeque<LoadSample>()

    /** Records the load that applies from [nowMillis] on. */
    fun record(nowMillis: Long, running: Int, waiting: Int) {
        samples += LoadSample(nowMillis, running, waiting)
        while (samples.size > MAXIMUM_SAMPLES) samples.removeFirst()
    }

    /** Returns the load at [timeMillis], or zero load if no sample goes back that far. */
    fun at(timeMillis: Long): LoadSample =
        samples.lastOrNull { it.atMillis <= timeMillis } ?: LoadSample(timeMillis, 0, 0)

    private companion object {
        const val MAXIMUM_SAMPLES = 20_000
    }
}

/** The numbers of running and waiting requests from [atMillis] on. */
internal data class LoadSample(val atMillis: Long, val running: Int, val waiting: Int)
