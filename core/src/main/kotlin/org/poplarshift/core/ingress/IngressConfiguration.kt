package org.poplarshift.core.ingress

/**
 * One version of what the operator wants served. Times are milliseconds, sizes bytes.
 *
 * @property version grows with each change, in uneven steps
 */
data class IngressConfiguration(
    val version: Long,
    val routes: List<IngressRoute>,
    val services: Map<String, IngressService>,
    val limits: CallerLimits,
    val organisations: List<IngressOrganisation>,
) {
    private val routesByHost = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val organisationsByKey = organisations.flatMap { organisation ->
        organisation.keys.map { it to organisation }
    }.toMap()

    /** The route with the longest prefix of [path] on [host], or null. */
    fun findRoute(host: String, path: String): IngressRoute? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The organisation that holds [key], or null. */
    fun findOrganisation(key: String?): IngressOrganisation? = key?.let { organisationsByKey[it] }

    /** Whether callers need a key on routes that are not public. */
    val hasOrganisations: Boolean
        get() = organisations.isNotEmpty()
}

/** What a caller may send and how long it may take. */
data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerMillis: Long,
    val idleMillis: Long,
)

/**
 * A service of workers.
 *
 * @property maximumConnections connections that one worker accepts from all nodes together
 * @property isEngine whether it runs models in batches of slots
 */
data class IngressService(val name: String, val healthPath: String, val maximumConnections: Int, val isEngine: Boolean)

/**
 * An organisation with its keys and its rate limit over all nodes.
 *
 * @property priority replaces the priority of the route when set; 0 goes first
 * @property ratePerSecond requests per second, 0 for no limit
 * @property burst requests beyond the rate
 */
data class IngressOrganisation(
    val name: String,
    val keys: Set<String>,
    val priority: Int?,
    val ratePerSecond: Double,
    val burst: Double,
)
