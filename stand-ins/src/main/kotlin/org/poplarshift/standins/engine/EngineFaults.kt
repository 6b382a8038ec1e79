package org.poplarshift.standins.engine

import kotlinx.serialization.Serializable

/**
 * The faults of an engine. `PUT /faults` replaces all fields; omitted fields are reset to their defaults.
 *
 * @property crashMarker a request whose body contains this text crashes the engine when it starts to generate tokens
 * @property restartAfterMillis time between a crash and the restart of the listener
 * @property refuseMarker a request whose body contains this text gets 422
 * @property crossNextResponses number of next requests whose responses carry the identifier of another request
 * @property responseDelayMillis delay before a request is scheduled, which delays the first byte of the response
 * @property delayedShare the fraction of requests, 0 to 1, to which [responseDelayMillis] applies
 * @property failNextRequests number of next requests that get 500 without a run
 * @property silentOnAccept whether new requests are accepted but neither run nor get a response
 * @property silentNextRequests number of next requests that are accepted but neither run nor get a response
 * @property silentAfterTokens tokens after which each stream stalls without an end, or null for no limit
 * @property cutAfterTokens tokens after which each connection is closed, or null for no limit
 * @property silenceEstablished whether all open connections stop responding permanently; new connections work
 * @property leaving the value of `leaving` in the load report
 * @property refuseRequests whether completion requests get 503 without a run
 * @property loadReportLagMillis age of the data in a load report
 * @property cacheEventLagMillis delay after which cache events are published
 * @property cacheEventLossShare the fraction of cache events, 0 to 1, that are never published
 * @property partitionedSources IP addresses or address prefixes whose requests get no response
 * @property seed seed of the random number generator
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
