package org.poplarshift.standins.federation

import kotlinx.serialization.Serializable
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.link.LinkSettings
import org.poplarshift.standins.platform.PlatformSettings
import org.poplarshift.standins.service.ServiceSettings

/** Settings of all stand-ins of a federation. */
@Serializable
data class FederationDescription(
    val platform: PlatformSettings = PlatformSettings(),
    val engines: List<EngineSettings> = emptyList(),
    val services: List<ServiceSettings> = emptyList(),
    val links: List<LinkSettings> = emptyList(),
)
