package org.poplarshift.standins.service

import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.Outage

/**
 * How a plain service behaves. `PUT /faults` replaces the whole; fields left out take their defaults.
 *
 * @property outage how requests fail without a run
 * @property responseDelayMillis time by which responses are late, after the run
 * @property lostNextResponses the next requests that run and whose connection is then closed
 * @property silentNextResponses the next requests that run and are never answered
 * @property crossNextResponses the next requests whose responses carry the identifier of another request
 * @property failNextRequests the next requests that run and get [failStatus]
 * @property silenceEstablished whether all connections that exist now go silent for good; new ones work
 * @property leaving whether the load report says that the service leaves
 * @property loadReportLagMillis how old a load report is
 * @property partitionedSources IP numbers, or beginnings of them, whose requests get no response
 */
@Serializable
data class ServiceFaults(
    val outage: Outage = Outage.NONE,
    val responseDelayMillis: Long = 0,
    val lostNextResponses: Int = 0,
    val silentNextResponses: Int = 0,
    val crossNextResponses: Int = 0,
    val failNextRequests: Int = 0,
    val failStatus: Int = 500,
    val silenceEstablished: Boolean = false,
    val leaving: Boolean = false,
    val loadReportLagMillis: Long = 200,
    val partitionedSources: List<String> = emptyList(),
)
