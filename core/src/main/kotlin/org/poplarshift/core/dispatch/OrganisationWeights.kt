package org.poplarshift.core.dispatch

import org.poplarshift.core.ingress.IngressOrganisation

/**
 * The weights of organisations in the queues for slots.
 *
 * The weight of an organisation is its rate limit in requests per second. An organisation without a limit, or one that is
 * not in the configuration, has the mean weight of the others, or 1 if no organisation has a limit.
 *
 * @param organisations returns the organisations of the configuration in force, or null if there is none
 */
class OrganisationWeights(private val organisations: () -> List<IngressOrganisation>?) {
    private var known: List<IngressOrganisation>? = null
    private var limits = emptyMap<String, Double>()
    private var mean = 1.0

    /** Returns the weight of [organisation], null for requests that state none. */
    fun of(organisation: String?): Double {
        val current = organisations()
        if (current !== known) update(current)
        return limits[organisation] ?: mean
    }

    private fun update(current: List<IngressOrganisation>?) {
        known = current
        limits = current.orEmpty().filter { it.ratePerSecond > 0 }.associate { it.name to it.ratePerSecond }
        mean = if (limits.isEmpty()) 1.0 else limits.values.average()
    }
}
