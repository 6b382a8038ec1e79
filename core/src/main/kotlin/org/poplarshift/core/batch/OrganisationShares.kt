package org.poplarshift.core.batch

/**
 * Start-time fair queueing between organisations: the organisation whose next start is earliest in virtual time comes
 * first. An organisation that was idle does not save up service.
 */
class OrganisationShares {
    private val finishes = HashMap<String, Double>()
    private var virtualTime = 0.0

    /** The organisation of [candidates] that is served next, or null when there is none. */
    fun choose(candidates: Collection<String>): String? = candidates.minWithOrNull(compareBy(::startOf).thenBy { it })

    /** Counts work of size [cost] for [organisation], which has the share [weight]. */
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
