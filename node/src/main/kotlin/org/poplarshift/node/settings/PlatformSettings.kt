package org.poplarshift.node.settings

import kotlinx.serialization.Serializable

/** Where the platform's services listen. */
@Serializable
data class PlatformSettings(val logAddress: String, val vmListAddress: String, val weightStoreAddress: String)
