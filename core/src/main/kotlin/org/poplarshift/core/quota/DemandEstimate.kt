package org.poplarshift.core.quota

import kotlin.math.exp

/** The recent request rate of one organisation at one VM, as an exponentially weighted average. */
class DemandEstimate {
    private var perSecond = 0.0

    /** When the last request arrived, in monotonic milliseconds, or null if there was none. */
    var lastRequestMillis: Long? = null
        private set

    /** Counts one request. */
    fun countRequest(nowMillis: Long) {
        perSecond = perSecond(nowMillis) + 1 / WINDOW_SECONDS
        lastRequestMillis = nowMillis
    }

    /** Returns the rate in requests per second. */
    fun perSecond(nowMillis: Long): Double {
        val last = lastRequestMillis ?: return 0.0
        return perSecond * exp(-(nowMillis - last).coerceAtLeast(0) / (WINDOW_SECONDS * MILLIS_PER_SECOND))
    }

    private companion object {
        const val WINDOW_SECONDS = 2.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
