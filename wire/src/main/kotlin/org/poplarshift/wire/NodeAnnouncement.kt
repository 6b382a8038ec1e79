package org.poplarshift.wire

import kotlinx.serialization.Serializable

/**
 * What the nodes tell each other about one node.
 *
 * @property address IP number and port of its peers listener
 * @property ageMillis how long ago the node itself said this; each node that passes it on adds the time it kept it
 */
@Serializable
data class NodeAnnouncement(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val address: String,
    val isLeaving: Boolean,
    val ageMillis: Long = 0,
)
