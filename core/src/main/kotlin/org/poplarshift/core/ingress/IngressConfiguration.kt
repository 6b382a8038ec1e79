package org.poplarshift.core.ingress

/**
 * One version of the operator's configuration. Times are in milliseconds, sizes in bytes.
 *
 * @property version increases with each change, not necessarily by one
 * @property organisations null if the configuration does not contain the list, which is not the same as an empty list
 */
data class IngressConfiguration(
    val version: Long,
    val routes: List<IngressRoute>,
    val services: Map<String, IngressService>,
    val limits: CallerLimits,
    val organisations: List<IngressOrganisation>?,
) {
    private val routesByHost = routes
        .groupBy { it.host.lowercase() }
        .mapValues { (_, routes) -> routes.sortedByDescending { it.pathPrefix.length } }
    private val routesByName = routes.associateBy { it.name }
    private val regionsByOrganisation = organisations.orEmpty().associate { it.name to it.allowedRegions }
    private val organisationsByKey = organisations.orEmpty().flatMap { organisation ->
        organisation.keys.map { it to organisation }
    }.toMap()

    /** Returns the route on [host] with the longest path prefix that matches [path], or null. */
    fun findRoute(host: String, path: String): IngressRoute? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** Returns the route [name], or null. */
    fun findRoute(name: String): IngressRoute? = routesByName[name]

    /** Returns [service] and the other services of the streaming routes that send requests to it. */
    fun servicesBeside(service: String): Set<String> = routes
        .filter { route -> route.kind == RouteKind.STREAM && route.targets.any { it.service == service } }
        .flatMapTo(hashSetOf(service)) { route -> route.targets.map { it.service } }

    /** Returns the organisation that owns [key], or null. */
    fun findOrganisation(key: String?): IngressOrganisation? = key?.let { organisationsByKey[it] }

    /**
     * Returns the regions whose workers may get the requests of [organisation] on [route], or null for all regions.
     *
     * A region must be allowed by both of them.
     */
    fun allowedRegions(route: IngressRoute?, organisation: String?): Set<String>? {
        val ofRoute = route?.allowedRegions
        val ofOrganisation = organisation?.let { regionsByOrganisation[it] }
        return if (ofRoute != null &&
            ofOrganisation != null
        ) {
            ofRoute intersect ofOrganisation
        } else {
            ofRoute ?: ofOrganisation
        }
    }

    /** Whether the requests of any route or organisation are restricted to some regions. */
    val hasAllowedRegions: Boolean =
        routes.any { it.allowedRegions != null } || organisations.orEmpty().any { it.allowedRegions != null }

    /** Whether callers need a key on routes that are not public. No key is known if the list is empty. */
    val requiresKeys: Boolean
        get() = organisations != null
}

/** Size limits and timeouts for the requests of callers. */
data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerMillis: Long,
    val idleMillis: Long,
)

/**
 * A service that is provided by a group of interchangeable workers.
 *
 * @property maximumConnections connections that one worker accepts from all nodes together
 * @property coldRequestsPerSecond requests per second that a cold worker accepts from all nodes together, or null if they
 *   are not limited
 * @property isEngine whether the workers are inference engines, which run the requests of all their slots in one batch
 * @property tokensPerEvent tokens of the output that an event of a stream usually contains
 * @property memoryTokens tokens of prompts and outputs that one worker holds at most at the same time, or null
 */
data class IngressService(
    val name: String,
    val healthPath: String,
    val maximumConnections: Int,
    val isEngine: Boolean,
    val coldRequestsPerSecond: Double? = null,
    val memoryTokens: Long? = null,
    val tokensPerEvent: Int = 1,
)

/**
 * An organisation with its keys and its rate limit across all nodes.
 *
 * @property priority overrides the priority of the route unless null; 0 is the highest priority
 * @property ratePerSecond requests per second, 0 for no limit
 * @property burst number of requests allowed in excess of the rate
 * @property allowedRegions regions whose workers may get the organisation's requests, or null for all
 */
data class IngressOrganisation(
    val name: String,
    val keys: Set<String>,
    val priority: Int?,
    val ratePerSecond: Double,
    val burst: Double,
    val allowedRegions: Set<String>? = null,
)
