package org.poplarshift.core.quota

import kotlin.math.exp

/** The recent rate of requests of one organisation at one VM, averaged with an exponential weight. */
class DemandEstimate {
    private var perSecond = 0.0

    /** When the last request came, in monotonic milliseconds, or null. */
    var lastRequestMillis: Long? = null
        private set

    /** Counts one request. */
    fun countRequest(nowMillis: Long) {
        perSecond = perSecond(nowMillis) + 1 / WINDOW_SECONDS
        lastRequestMillis = nowMillis
    }

    /** Requests a second. */
    fun perSecond(nowMillis: Long): Double {
        val last = lastRequestMillis ?: return 0.0
        return perSecond * exp(-(nowMillis - last).coerceAtLeast(0) / (WINDOW_SECONDS * MILLIS_PER_SECOND))
    }

    private companion object {
        const val WINDOW_SECONDS = 2.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
