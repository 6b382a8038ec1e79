package org.poplarshift.core.quota

import kotlin.math.ceil

/**
 * Durations of token leases, prefetching and settlement, in milliseconds.
 *
 * @property leaseMillis how long a receiver may spend a token lease
 * @property shareLeaseMillis how long a receiver may use a share that was lent as a whole
 * @property driftShare the maximum relative difference in rate between two monotonic clocks
 * @property prefetchMillis how many milliseconds of expected demand a receiver prefetches
 * @property idleReturnMillis time without requests after which a receiver returns its tokens
 * @property settleMillis how long a settlement waits to be sent along with a token request
 */
data class QuotaTimes(
    val leaseMillis: Long = 2_000,
    val shareLeaseMillis: Long = 3_000,
    val driftShare: Double = 0.01,
    val prefetchMillis: Long = 200,
    val idleReturnMillis: Long = 500,
    val settleMillis: Long = 50,
) {
    /** How many milliseconds the lender waits to be sure that [durationMillis] have passed at the receiver. */
    fun restoreMillis(durationMillis: Long): Long =
        ceil(durationMillis * (1 + 2 * driftShare)).toLong() + ROUNDING_MILLIS

    private companion object {
        /** Two readings of a millisecond clock each lose up to one millisecond. */
        const val ROUNDING_MILLIS = 2L
    }
}
