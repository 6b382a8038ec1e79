package org.poplarshift.core.ingress

/** What may be repeated, and how answers are delivered. */
enum class RouteKind {
    /** May run more than once. */
    SAFE,

    /** May run at most once for each attempt of a caller. */
    UNSAFE,

    /** A stream of events; runs at most once unless the route is resumable. */
    STREAM,

    /** Submissions whose items run later. */
    BATCH,
}

/** A service that gets a share of a route's requests. */
data class WeightedService(val service: String, val weight: Double)

/**
 * Requests of one host and path prefix.
 *
 * @property timeoutMillis after which a request gets its final answer
 * @property targetLatencyMillis within which a response is on time; for streams the first event
 * @property priority 0 goes first
 * @property maximumAttempts workers that one request may reach
 * @property maximumEventGapMillis between two events of a stream that is on time
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
) {
    /** Whether a request that may have run may be sent again from its beginning. */
    val mayRepeat: Boolean
        get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && isResumable)

    /** Chooses a target by weight; [random] is in 0 until 1. */
    fun chooseService(random: Double): String? {
        var remaining = random * targets.sumOf { it.weight }
        for (target in targets) {
            remaining -= target.weight
            if (remaining < 0) return target.service
        }
        return targets.lastOrNull()?.service
    }
}

/**
 * Terms of a batch route.
 *
 * @property dueMillis after the first send at which all results are due
 * @property abandonMillis after the first send from which an item may be given up
 * @property waitingTokensLimit tokens that an organisation may have waiting, 0 for no limit
 */
data class BatchRouteSettings(val dueMillis: Long, val abandonMillis: Long, val waitingTokensLimit: Long)
