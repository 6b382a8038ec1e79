package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.configuration.Configuration

/**
 * Response of `GET /peer/configuration?after=`.
 *
 * @property configuration the configuration in force at the peer, or null when it is not newer than the
 * requested version
 */
@Serializable
data class ConfigurationResponse(val configuration: Configuration? = null)
