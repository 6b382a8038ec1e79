package org.poplarshift.standins.engine

import kotlinx.serialization.Serializable

/**
 * How an engine behaves. `PUT /faults` replaces the whole; fields left out take their defaults.
 *
 * @property crashMarker a request whose body contains this text crashes the engine when it starts to generate
 * @property restartAfterMillis time from a crash until the engine listens again
 * @property refuseMarker a request whose body contains this text gets 422
 * @property crossNextResponses the next requests whose responses carry the identifier and text of another request
 * @property responseDelayMillis time by which the first byte is late
 * @property delayedShare the share of requests, 0 to 1, to which [responseDelayMillis] applies
 * @property failNextRequests the next requests that get 500 without a run
 * @property silentOnAccept whether new requests are accepted and never run or answered
 * @property silentNextRequests the next requests that are accepted and never run or answered
 * @property silentAfterTokens tokens after which each stream goes silent without an end, or null for never
 * @property cutAfterTokens tokens after which each connection is closed, or null for never
 * @property silenceEstablished whether all connections that exist now go silent for good; new ones work
 * @property leaving whether the load report says that the engine leaves
 * @property refuseRequests whether completions get 503 without a run
 * @property loadReportLagMillis how old a load report is
 * @property cacheEventLagMillis how late cache events are published
 * @property cacheEventLossShare the share of cache events, 0 to 1, that are never published
 * @property partitionedSources IP numbers, or beginnings of them, whose requests get no response
 * @property seed seed of the random choices
 */
@Serializable
data class EngineFaults(
    val crashMarker: String = "[[crash]]",
    val restartAfterMillis: Long = 2_000,
    val refuseMarker: String = "[[refuse]]",
    val crossNextResponses: Int = 0,
    val responseDelayMillis: Long = 0,
    val delayedShare: Double = 1.0,
    val failNextRequests: Int = 0,
    val silentOnAccept: Boolean = false,
    val silentNextRequests: Int = 0,
    val silentAfterTokens: Int? = null,
    val cutAfterTokens: Int? = null,
    val silenceEstablished: Boolean = false,
    val leaving: Boolean = false,
    val refuseRequests: Boolean = false,
    val loadReportLagMillis: Long = 200,
    val cacheEventLagMillis: Long = 500,
    val cacheEventLossShare: Double = 0.0,
    val partitionedSources: List<String> = emptyList(),
    val seed: Long = 1,
)
