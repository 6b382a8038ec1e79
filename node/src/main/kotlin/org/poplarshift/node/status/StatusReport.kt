package org.poplarshift.node.status

import kotlinx.serialization.Serializable

/**
 * The response of `GET /status`.
 *
 * @property configurationAgeMillis the time since the configuration of this node was last confirmed as current
 * @property slots the slots that this node currently owns
 * @property refusals the number of refused and failed requests since the start, by reason code
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

/** The state of a peer as seen by this node. */
@Serializable
data class PeerStatus(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val address: String,
    val isLeaving: Boolean,
)
