package org.poplarshift.core.orders

/**
 * The demand for one artifact, in concurrent requests, over the last [windowMillis]. The minimum is the demand that was
 * sustained for the whole window. The maximum is the demand that must still fit after an unload.
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

    /** Returns the minimum online and batch demand in the window, or 0 until samples cover a whole window. */
    fun sustained(nowMillis: Long): Double {
        val first = firstMillis ?: return 0.0
        return if (nowMillis - first < windowMillis) 0.0 else samples.minOf { it.online + it.batch }
    }

    /** Returns the maximum online demand in the window. */
    fun peakOnline(): Double = samples.maxOfOrNull { it.online } ?: 0.0

    /** Returns the maximum online and batch demand in the window. */
    fun peak(): Double = samples.maxOfOrNull { it.online + it.batch } ?: 0.0
}
