package org.poplarshift.core.ownership

/**
 * The lease on a slot at its holder. All times are monotonic milliseconds of the holder's clock.
 *
 * @param seenAtMillis when the holder saw its claim in force
 */
class SlotLease(val claim: SlotClaim, seenAtMillis: Long, private val times: SlotTimes) {
    /** From when on the slot may be used, if the lease is confirmed. */
    val usableFromMillis: Long = seenAtMillis + times.waitMillis(claim.wait)

    private var confirmedAtMillis: Long? = null
    private var logConfirmedAtMillis: Long? = null

    /** Takes a read of the log that showed the claim in force and began at [readStartedMillis] or later. */
    fun confirmFromLog(readStartedMillis: Long) {
        logConfirmedAtMillis = maxOf(readStartedMillis, logConfirmedAtMillis ?: readStartedMillis)
        confirmedAtMillis = maxOf(readStartedMillis, confirmedAtMillis ?: readStartedMillis)
    }

    /** Takes confirmations by a majority, whose earliest request was sent at [sentMillis]. */
    fun confirmByMajority(sentMillis: Long) {
        confirmedAtMillis = maxOf(sentMillis, confirmedAtMillis ?: sentMillis)
    }

    /** How old the last confirmation is, or null when there is none. */
    fun confirmationAgeMillis(nowMillis: Long): Long? = confirmedAtMillis?.let { nowMillis - it }

    /** Whether the slot may be used now. */
    fun isUsable(nowMillis: Long): Boolean = remainingMillis(nowMillis) > 0

    /** How long the slot may be used without a further confirmation; 0 when it may not be used. */
    fun remainingMillis(nowMillis: Long): Long {
        val confirmedAt = confirmedAtMillis ?: return 0
        val logConfirmedAt = logConfirmedAtMillis ?: return 0
        if (nowMillis < usableFromMillis) return 0
        val leaseRemaining = confirmedAt + times.slotLeaseMillis - nowMillis
        val isolationRemaining = logConfirmedAt + times.isolationLimitMillis - nowMillis
        return minOf(leaseRemaining, isolationRemaining).coerceAtLeast(0)
    }
}
