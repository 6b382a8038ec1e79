package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * How workers are chosen.
 *
 * @property periodSeconds how often [RoutingPolicyName.PERIODIC_WEIGHTS] recomputes its weights
 */
@Serializable
data class RoutingSettings(val policy: RoutingPolicyName = RoutingPolicyName.POWER_OF_TWO, val periodSeconds: Int = 7)
