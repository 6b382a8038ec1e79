package org.poplarshift.standins.service

import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.Outage

/**
 * The faults of a plain service. `PUT /faults` replaces all fields; omitted fields are reset to their defaults.
 *
 * @property outage outage during which requests fail without a run
 * @property responseDelayMillis delay between the end of a run and its response
 * @property lostNextResponses number of next requests that run and whose connection is closed without a response
 * @property silentNextResponses number of next requests that run and get no response
 * @property crossNextResponses number of next requests whose responses carry the identifier of another request
 * @property failNextRequests number of next requests that run and get [failStatus]
 * @property silenceEstablished whether all open connections stop responding permanently; new connections work
 * @property leaving the value of `leaving` in the load report
 * @property loadReportLagMillis age of the data in a load report
 * @property partitionedSources IP addresses or address prefixes whose requests get no response
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
