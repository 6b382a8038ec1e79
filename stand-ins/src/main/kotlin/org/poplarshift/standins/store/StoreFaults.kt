package org.poplarshift.standins.store

import org.poplarshift.standins.http.Outage

/**
 * Faults of the store towards one of its callers.
 *
 * @property throttledShare share of the calls that are rejected with 429
 * @property delayMillis time by which responses are delayed
 * @property lostShare share of the appends that are executed without a response
 * @property lateShare share of the appends that get no response and are executed up to [LATEST_MILLIS] later
 */
data class StoreFaults(
    val outage: Outage = Outage.NONE,
    val throttledShare: Double = 0.0,
    val delayMillis: Long = 0,
    val lostShare: Double = 0.0,
    val lateShare: Double = 0.0,
) {
    internal companion object {
        const val LATEST_MILLIS = 6_000L
    }
}
