package org.poplarshift.node.configuration

import kotlinx.coroutines.flow.StateFlow
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.KeyEntry

/** The configuration in force at this node. */
interface ConfigurationStore {
    /** The newest configuration; its version never falls. */
    val current: StateFlow<Configuration>

    /** How long ago this node last knew that it had the newest configuration, or null when it never did. */
    val ageMillis: Long?

    /** The entry of a caller's key, or null when the key is unknown or withdrawn. */
    fun findKey(key: String): KeyEntry?
}
