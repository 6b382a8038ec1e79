package org.poplarshift.standins.platform

import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.Outage

/**
 * The faults of the platform. `PUT /faults` replaces all fields; omitted fields are reset to their defaults.
 *
 * @property logOutage outage of the log, for the streams in [logOutageStreams] or, if that is empty, for all streams
 * @property appendDelayMillis time between storing an appended record and sending the response
 * @property readDelayMillis delay of read responses
 * @property lostAppendResponses number of next appends after which the connection is closed; the record is stored
 * @property lostAppendShare the fraction of appends, 0 to 1, that are stored and whose response is lost
 * @property retentionRecords number of newest records that each stream keeps, or null for all
 * @property retentionMillis age beyond which records are dropped, or null for no limit
 * @property appendsPerSecond rate limit of appends over all streams; appends above it get 503
 * @property vmListLagMillis age of the VM list
 * @property weightLoadsPerMinute rate limit of weight store reservations over all models; those above it get 429
 * @property partitionedSources IP addresses or address prefixes whose requests get no response
 * @property seed seed of the random number generator
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
