package org.poplarshift.core.ingress

/** Determines whether requests may be repeated and how responses are delivered. */
enum class RouteKind {
    /** Requests may run more than once. */
    SAFE,

    /** Requests run at most once for each time that the caller sends them. */
    UNSAFE,

    /** The response is a stream of events. Requests run at most once unless the route is resumable. */
    STREAM,

    /** Requests are submissions whose items run asynchronously. */
    BATCH,
}

/** A service that receives a share of a route's requests in proportion to its weight. */
data class WeightedService(val service: String, val weight: Double)

/**
 * A route for the requests to one host and path prefix.
 *
 * @property timeoutMillis time within which a request receives its final response
 * @property targetLatencyMillis time within which a response, or the first event of a stream, is on time
 * @property priority 0 is the highest priority
 * @property maximumAttempts maximum number of workers to which one request is sent
 * @property allowedRegions regions whose workers may get the route's requests, or null for all
 * @property maximumEventGapMillis maximum time between two events of a stream that is on time
 */
data class IngressRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMillis: Long,
    val targetLatencyMillis: Long,
    val priority: Int,
    val targets: List<WeightedService>,
    val maximumAttempts: Int,
    val isPublic: Boolean = false,
    val isResumable: Boolean = false,
    val maximumEventGapMillis: Long = 0,
    val batch: BatchRouteSettings? = null,
    val allowedRegions: Set<String>? = null,
) {
    /** Whether a request that may have run can be sent again from its beginning. */
    val mayRepeat: Boolean
        get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && isResumable)

    /** Selects a target in proportion to the weights, or returns null if there is none. [random] is in 0 until 1. */
    fun chooseService(random: Double): String? {
        var remaining = random * targets.sumOf { it.weight }
        for (target in targets) {
            remaining -= target.weight
            if (remaining < 0) return target.service
        }
        return targets.lastOrNull()?.service
    }

    /** The services that the route sends requests to. */
    val services: Set<String>
        get() = targets.filter { it.weight > 0 }.mapTo(LinkedHashSet()) { it.service }

    /** Returns [current] if the route still sends requests to that service, otherwise as [chooseService]. */
    fun keepOrChooseService(current: String, random: Double): String? =
        if (current in services) current else chooseService(random)
}

/**
 * Settings of a batch route.
 *
 * @property dueMillis time after the first send at which all results are due
 * @property abandonMillis time after the first send from which an item may be abandoned
 * @property waitingTokensLimit tokens of items without a result that an organisation may have, 0 for no limit
 */
data class BatchRouteSettings(val dueMillis: Long, val abandonMillis: Long, val waitingTokensLimit: Long)
