package org.poplarshift.core.ownership

import kotlin.math.ceil

/**
 * Durations of the ownership protocol, in milliseconds.
 *
 * @property slotLeaseMillis how long a confirmation is valid
 * @property isolationLimitMillis how long a holder may rely on confirmations by a majority without reading the log
 * @property driftShare the maximum relative difference in rate between two monotonic clocks
 * @property promiseTimeoutMillis how long a claimant tries to obtain promises from a majority
 * @property holderTimeoutMillis how long a holder must be unresponsive before promises are requested from the voters
 * @property promiseRefusalMillis how long a voter refuses to promise a slot after the holder's last confirm request
 * @property reaffirmMillis the maximum time between two records of a holder, well below the log's retention
 * @property claimRetryMillis how long to wait for the outcome of an append before retrying
 */
data class SlotTimes(
    val slotLeaseMillis: Long = 4_000,
    val isolationLimitMillis: Long = 7_200_000,
    val driftShare: Double = 0.01,
    val promiseTimeoutMillis: Long = 30_000,
    val holderTimeoutMillis: Long = 2_000,
    val promiseRefusalMillis: Long = 4_000,
    val reaffirmMillis: Long = 3_600_000,
    val claimRetryMillis: Long = 2_000,
) {
    /** How many milliseconds to wait on this clock to be sure that [millis] have passed on any other VM's clock. */
    fun withMargin(millis: Long): Long = ceil(millis * (1 + 2 * driftShare)).toLong() + ROUNDING_MILLIS

    /** How many milliseconds the holder of a claim waits before it uses the slot. */
    fun waitMillis(wait: ClaimWait): Long = when (wait) {
        ClaimWait.NONE -> 0
        ClaimWait.LEASE -> withMargin(slotLeaseMillis)
        ClaimWait.ISOLATION -> withMargin(isolationLimitMillis)
    }

    private companion object {
        /** Two readings of a millisecond clock each lose up to one millisecond. */
        const val ROUNDING_MILLIS = 2L
    }
}
