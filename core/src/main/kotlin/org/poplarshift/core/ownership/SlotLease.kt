package org.poplarshift.core.ownership

/**
 * The lease on a slot at its holder. All times are monotonic milliseconds of the holder's clock.
 *
 * @param seenAtMillis when the holder first read its own valid claim
 */
class SlotLease(val claim: SlotClaim, seenAtMillis: Long, private val times: SlotTimes) {
    /** The earliest time at which the slot may be used, provided that the lease is confirmed. */
    val usableFromMillis: Long = seenAtMillis + times.waitMillis(claim.wait)

    private var confirmedAtMillis: Long? = null
    private var logConfirmedAtMillis: Long? = null

    /** Confirms the lease by a read of the log that began at [readStartedMillis] or later and showed the claim. */
    fun confirmFromLog(readStartedMillis: Long) {
        logConfirmedAtMillis = maxOf(readStartedMillis, logConfirmedAtMillis ?: readStartedMillis)
        confirmedAtMillis = maxOf(readStartedMillis, confirmedAtMillis ?: readStartedMillis)
    }

    /** Confirms the lease by a majority of voters; the earliest of their requests was sent at [sentMillis]. */
    fun confirmByMajority(sentMillis: Long) {
        confirmedAtMillis = maxOf(sentMillis, confirmedAtMillis ?: sentMillis)
    }

    /** The age of the last confirmation in milliseconds, or null if there is none. */
    fun confirmationAgeMillis(nowMillis: Long): Long? = confirmedAtMillis?.let { nowMillis - it }

    /** Whether the slot may be used now. */
    fun isUsable(nowMillis: Long): Boolean = remainingMillis(nowMillis) > 0

    /** How many milliseconds the slot may be used without a further confirmation; 0 if it may not be used. */
    fun remainingMillis(nowMillis: Long): Long {
        val confirmedAt = confirmedAtMillis ?: return 0
        val logConfirmedAt = logConfirmedAtMillis ?: return 0
        if (nowMillis < usableFromMillis) return 0
        val leaseRemaining = confirmedAt + times.slotLeaseMillis - nowMillis
        val isolationRemaining = logConfirmedAt + times.isolationLimitMillis - nowMillis
        return minOf(leaseRemaining, isolationRemaining).coerceAtLeast(0)
    }
}
