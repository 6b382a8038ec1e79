package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * @property staleLimitSeconds the node refuses keys once its configuration was last known to be current this long ago;
 * 0 means no limit, so that a partitioned availability zone continues to serve
 */
@Serializable
data class ConfigurationSettings(val staleLimitSeconds: Long = 0)
