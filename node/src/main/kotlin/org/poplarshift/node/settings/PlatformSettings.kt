package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/**
 * Where the platform's services listen.
 *
 * @property logRetentionHours how long the log keeps a record
 */
@Serializable
data class PlatformSettings(
    val logAddress: String,
    val vmListAddress: String,
    val weightStoreAddress: String,
    val logRetentionHours: Int = 24,
)
