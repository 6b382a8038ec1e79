package org.poplarshift.wire

import kotlinx.serialization.Serializable

/**
 * Request and response of `POST /peer/exchange`.
 *
 * @property sender the node that sends this message
 * @property nodes the other nodes that the sender knows
 * @property configurationVersion the version in force at the sender
 * @property configurationAgeMillis how long ago the sender knew that no newer version existed; null when it never did
 */
@Serializable
data class ExchangeMessage(
    val sender: NodeAnnouncement,
    val nodes: List<NodeAnnouncement> = emptyList(),
    val configurationVersion: Long = -1,
    val configurationAgeMillis: Long? = null,
)
