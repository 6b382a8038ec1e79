package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * Addresses of the platform's services.
 *
 * @property logRetentionHours how long the log retains a record
 */
@Serializable
data class PlatformSettings(
    val logAddress: String,
    val vmListAddress: String,
    val weightStoreAddress: String,
    val logRetentionHours: Int = 24,
)
