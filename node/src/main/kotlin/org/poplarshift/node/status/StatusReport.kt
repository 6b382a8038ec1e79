package org.poplarshift.node.status

import kotlinx.serialization.Serializable

/**
 * The response of `GET /status`.
 *
 * @property configurationAgeMillis how long ago this node knew that its configuration was the newest
 * @property slots the slots that this node may use now
 * @property refusals refused and failed requests since the start, by reason code
 */
@Serializable
data class StatusReport(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val state: String,
    val configurationVersion: Long,
    val catalogueVersion: Long,
    val configurationAgeMillis: Long?,
    val openRequests: Int,
    val peers: List<PeerStatus>,
    val slots: List<String>,
    val refusals: Map<String, Long>,
)

/** A peer as this node knows it. */
@Serializable
data class PeerStatus(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val address: String,
    val isLeaving: Boolean,
)
