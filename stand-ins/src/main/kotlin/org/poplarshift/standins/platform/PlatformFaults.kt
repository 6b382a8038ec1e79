package org.poplarshift.standins.platform

import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.Outage

/**
 * How the platform behaves. `PUT /faults` replaces the whole; fields left out take their defaults.
 *
 * @property logOutage how the log fails, for the streams of [logOutageStreams] or, when that is empty, for all
 * @property appendDelayMillis time between the effect of an append and its response
 * @property readDelayMillis time by which the response of a read is late
 * @property lostAppendResponses the next appends that take effect and whose connection is then closed
 * @property lostAppendShare the share of appends, 0 to 1, that take effect and whose response is lost
 * @property retentionRecords the newest records that each stream keeps, or null for all
 * @property retentionMillis the age at which records are dropped, or null for never
 * @property appendsPerSecond appends over all streams beyond which the log refuses
 * @property vmListLagMillis how old the list of VMs is
 * @property weightLoadsPerMinute reservations that the weight store grants a minute, over all models
 * @property partitionedSources IP numbers, or beginnings of them, whose requests get no response
 * @property seed seed of the random choices
 */
@Serializable
data class PlatformFaults(
    val logOutage: Outage = Outage.NONE,
    val logOutageStreams: List<String> = emptyList(),
    val appendDelayMillis: Long = 0,
    val readDelayMillis: Long = 0,
    val lostAppendResponses: Int = 0,
    val lostAppendShare: Double = 0.0,
    val retentionRecords: Int? = null,
    val retentionMillis: Long? = null,
    val appendsPerSecond: Double = 500.0,
    val vmListOutage: Outage = Outage.NONE,
    val vmListLagMillis: Long = 0,
    val weightStoreOutage: Outage = Outage.NONE,
    val weightLoadsPerMinute: Double = 60.0,
    val partitionedSources: List<String> = emptyList(),
    val seed: Long = 1,
)
