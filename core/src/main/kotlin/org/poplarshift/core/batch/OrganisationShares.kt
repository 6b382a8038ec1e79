package org.poplarshift.core.batch

/**
 * Start-time fair queueing between organisations: the organisation with the earliest start tag in virtual time is
 * served next. An idle organisation accumulates no credit.
 */
class OrganisationShares {
    private val finishes = HashMap<String, Double>()
    private var virtualTime = 0.0

    /** Returns the organisation among [candidates] to serve next, or null if there are no candidates. */
    fun choose(candidates: Collection<String>): String? = candidates.minWithOrNull(compareBy(::startOf).thenBy { it })

    /** Charges [organisation], which has the weight [weight], for work of size [cost]. */
    fun charge(organisation: String, cost: Double, weight: Double) {
        val start = startOf(organisation)
        virtualTime = maxOf(virtualTime, start)
        finishes[organisation] = start + cost / weight
        if (finishes.size > MAXIMUM_ENTRIES) finishes.values.removeIf { it <= virtualTime }
    }

    private fun startOf(organisation: String): Double = maxOf(virtualTime, finishes[organisation] ?: 0.0)

    private companion object {
        const val MAXIMUM_ENTRIES = 1_000
    }
}
