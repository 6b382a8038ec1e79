package org.poplarshift.core.orders

/**
 * Demand for one artifact, in concurrent requests, over the last [windowMillis]. Its minimum is what was sustained for
 * the whole window; its maximum is what must still fit after an unload.
 */
class DemandWindow(private val windowMillis: Long) {
    private class Sample(val atMillis: Long, val online: Double, val batch: Double)

    private val samples = ArrayDeque<Sample>()
    private var firstMillis: Long? = null

    /** Adds a measurement. */
    fun add(online: Double, batch: Double, nowMillis: Long) {
        if (firstMillis == null) firstMillis = nowMillis
        samples.addLast(Sample(nowMillis, online, batch))
        while (samples.first().atMillis < nowMillis - windowMillis) samples.removeFirst()
    }

    /** Demand, online and batch, that was never undercut for a whole window; 0 until the window is full. */
    fun sustained(nowMillis: Long): Double {
        val first = firstMillis ?: return 0.0
        return if (nowMillis - first < windowMillis) 0.0 else samples.minOf { it.online + it.batch }
    }

    /** The largest online demand of the window. */
    fun peakOnline(): Double = samples.maxOfOrNull { it.online } ?: 0.0

    /** The largest demand of the window, online and batch. */
    fun peak(): Double = samples.maxOfOrNull { it.online + it.batch } ?: 0.0
}
