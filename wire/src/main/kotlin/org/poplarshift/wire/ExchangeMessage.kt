package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.quarantine.QuarantineNews

/**
 * Request and response of `POST /peer/exchange`.
 *
 * @property sender the node that sends this message
 * @property nodes the other nodes that the sender knows
 * @property configurationVersion the version in force at the sender
 * @property configurationAgeMillis how long ago the sender knew that no newer version existed; null when it never did
 * @property quarantine the newest strikes that the sender knows
 */
@Serializable
data class ExchangeMessage(
    val sender: NodeAnnouncement,
    val nodes: List<NodeAnnouncement> = emptyList(),
    val configurationVersion: Long = -1,
    val configurationAgeMillis: Long? = null,
    val quarantine: QuarantineNews = QuarantineNews(),
)
