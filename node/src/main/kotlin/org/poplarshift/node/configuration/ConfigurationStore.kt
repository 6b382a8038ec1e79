package org.poplarshift.node.configuration

import kotlinx.coroutines.flow.StateFlow
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.KeyEntry

/** The configuration in force at this node. */
interface ConfigurationStore {
    /** The newest configuration. Its version never decreases. */
    val current: StateFlow<Configuration>

    /** Milliseconds since the configuration was last confirmed to be the newest, or null if it never was. */
    val ageMillis: Long?

    /** Returns the entry of a caller's key, or null if the key is unknown or withdrawn. */
    fun findKey(key: String): KeyEntry?
}
