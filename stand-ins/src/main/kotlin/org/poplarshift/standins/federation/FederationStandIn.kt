package org.poplarshift.standins.federation

import io.vertx.core.Vertx
import org.poplarshift.standins.StandIn
import org.poplarshift.standins.engine.EngineStandIn
import org.poplarshift.standins.link.LinkStandIn
import org.poplarshift.standins.platform.PlatformStandIn
import org.poplarshift.standins.service.ServiceStandIn

/** Runs all stand-ins of a federation in one process. */
class FederationStandIn(vertx: Vertx, description: FederationDescription) : StandIn {
    val platform = PlatformStandIn(vertx, description.platform)

    /** The engines by worker identifier. */
    val engines = description.engines.associate { it.worker to EngineStandIn(vertx, it) }

    /** The plain services by worker identifier. */
    val services = description.services.associate { it.worker to ServiceStandIn(vertx, it) }

    /** The links by name. */
    val links = description.links.associate { it.name to LinkStandIn(vertx, it) }

    /** All stand-ins, in start order. */
    val standIns: List<StandIn> = listOf(platform) + engines.values + services.values + links.values

    override val name = "federation"

    /** The port of the platform. */
    override val port: Int
        get() = platform.port

    override suspend fun start() = standIns.forEach { it.start() }

    override suspend fun stop() = standIns.forEach { it.stop() }
}
