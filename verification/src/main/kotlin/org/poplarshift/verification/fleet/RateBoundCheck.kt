package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation

/**
 * Checks that over every interval an organisation's admissions stay within rate x length + burst, without tolerance.
 *
 * The largest excess over all intervals that end now follows from the lowest earlier point of admissions minus rate x
 * time, so that each admission is checked against all earlier ones in constant time. Amounts are millionths of a
 * request and the rate and burst are whole numbers, so that the check is exact.
 */
class RateBoundCheck(organisation: Organisation) {
    private val rate = organisation.ratePerSecond.toLong()
    private val burst = organisation.burst.toLong()
    private var admitted = 0L
    private var lowest = Long.MAX_VALUE

    init {
        require(rate.toDouble() == organisation.ratePerSecond) { "rate ${organisation.ratePerSecond} is not whole" }
        require(burst.toDouble() == organisation.burst) { "burst ${organisation.burst} is not whole" }
    }

    /** Counts an admission and returns by how many millionths it exceeds the bound; 0 or less is within it. */
    fun admit(atMicros: Long): Long {
        lowest = minOf(lowest, admitted * MILLION - rate * atMicros)
        admitted++
        return admitted * MILLION - rate * atMicros - lowest - burst * MILLION
    }

    private companion object {
        const val MILLION = 1_000_000L
    }
}
