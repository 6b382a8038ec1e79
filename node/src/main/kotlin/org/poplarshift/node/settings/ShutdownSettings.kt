package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * @property listLagMillis how long a leaving node continues to accept requests, because its departure reaches the
 * balancer and the lists of VMs with a delay
 */
@Serializable
data class ShutdownSettings(val listLagMillis: Long = 5_000)
