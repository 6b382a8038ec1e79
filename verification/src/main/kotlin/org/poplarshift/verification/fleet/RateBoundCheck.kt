package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation

/**
 * Checks without tolerance that the admissions of an organisation in every interval are at most rate x length + burst.
 *
 * The maximum excess over all intervals that end now follows from the earlier minimum of admissions minus rate x time,
 * so that each admission is checked against all earlier ones in constant time. The check is exact, because amounts are
 * millionths of a request and the rate and burst are integers.
 */
class RateBoundCheck(organisation: Organisation) {
    private val rate = organisation.ratePerSecond.toLong()
    private val burst = organisation.burst.toLong()
    private var admitted = 0L
    private var lowest = Long.MAX_VALUE

    init {
        require(rate.toDouble() == organisation.ratePerSecond) {
            "rate ${organisation.ratePerSecond} is not an integer"
        }
        require(burst.toDouble() == organisation.burst) { "burst ${organisation.burst} is not an integer" }
    }

    /** Counts an admission and returns its excess over the bound in millionths of a request; at most 0 if within it. */
    fun admit(atMicros: Long): Long {
        lowest = minOf(lowest, admitted * MILLION - rate * atMicros)
        admitted++
        return admitted * MILLION - rate * atMicros - lowest - burst * MILLION
    }

    private companion object {
        const val MILLION = 1_000_000L
    }
}
