package org.poplarshift.node.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The routing policies that the settings can choose. */
@Serializable
enum class RoutingPolicyName {
    @SerialName("roundRobin")
    ROUND_ROBIN,

    @SerialName("powerOfTwo")
    POWER_OF_TWO,

    @SerialName("prefixAffinity")
    PREFIX_AFFINITY,

    @SerialName("periodicWeights")
    PERIODIC_WEIGHTS,
}
