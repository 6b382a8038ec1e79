package org.poplarshift.core.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Where a request would go now and why. Times are in milliseconds.
 *
 * @property node the node that answers
 * @property scheduler the node that runs the scheduler which decides, or null if none can be reached
 * @property worker the worker that would be chosen, or null if the request would wait
 * @property workMillis expected work of the request at a worker of the usual speed that runs nothing else
 * @property candidates all registered workers of the service in the zone, empty unless [node] is the [scheduler]
 */
@Serializable
data class RouteExplanation(
    val node: String,
    val service: String,
    val scheduler: String?,
    val worker: String? = null,
    val workMillis: Long? = null,
    val candidates: List<Candidate> = emptyList(),
) {
    /** Why a worker is or is not chosen. */
    @Serializable
    enum class Verdict {
        @SerialName("chosen")
        CHOSEN,

        @SerialName("costs_more")
        COSTS_MORE,

        @SerialName("unavailable")
        UNAVAILABLE,

        @SerialName("no_free_slot")
        NO_FREE_SLOT,

        @SerialName("rate_limit")
        RATE_LIMIT,

        @SerialName("memory")
        MEMORY,
    }

    /**
     * A worker.
     *
     * @property runMillis expected time of the run there
     * @property delayMillis expected sum of the delays of other runs there
     * @property cachedTokens tokens of the prompt that the worker probably has cached
     * @property remainingMillis expected time until the worker has finished its present runs
     */
    @Serializable
    data class Candidate(
        val worker: String,
        val verdict: Verdict,
        val runMillis: Long,
        val delayMillis: Long,
        val firstMillis: Long,
        val cachedTokens: Int,
        val speed: Double,
        val requests: Int,
        val slots: Int,
        val remainingMillis: Long,
    )
}
