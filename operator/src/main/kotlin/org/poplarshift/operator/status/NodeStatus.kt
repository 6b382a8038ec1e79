package org.poplarshift.operator.status

import kotlinx.serialization.Serializable

/** The fields of a `GET /status` response that the command shows; other fields are ignored. */
@Serializable
data class NodeStatus(
    val vm: String,
    val availabilityZone: String,
    val state: String,
    val configurationVersion: Long,
    val catalogueVersion: Long,
    val configurationAgeMillis: Long? = null,
    val openRequests: Int = 0,
    val slots: List<String> = emptyList(),
    val refusals: Map<String, Long> = emptyMap(),
)
