package org.poplarshift.core.ownership

import kotlin.math.ceil

/**
 * Durations of the ownership protocol, in milliseconds.
 *
 * @property slotLeaseMillis how long a confirmation lasts
 * @property isolationLimitMillis how long a holder may live on confirmations by a majority without the log
 * @property driftShare the largest difference in rate between two monotonic clocks
 * @property promiseTimeoutMillis how long a claimant tries to reach a majority
 * @property holderTimeoutMillis how long a holder has to be silent before its voters are asked
 * @property promiseRefusalMillis how long a voter that heard the holder refuses to promise its slot
 * @property reaffirmMillis the longest time between two records of a holder, well below the log's retention
 * @property claimRetryMillis how long to wait for the outcome of an append before the next try
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
    /** How long another VM waits to be sure that [millis] have passed on any other VM's clock. */
    fun withMargin(millis: Long): Long = ceil(millis * (1 + 2 * driftShare)).toLong() + ROUNDING_MILLIS

    /** How long the holder of a claim waits before it uses the slot. */
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
