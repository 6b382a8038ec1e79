package org.poplarshift.node

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import org.poplarshift.core.membership.Member
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.ports.LogService
import org.poplarshift.ports.VmList
import org.poplarshift.ports.WeightStore
import org.poplarshift.serving.MonotonicClock

/**
 * Dependencies that all parts of a node share.
 *
 * All coroutines of [scope], all handlers of both servers and all clients run on one event loop thread, so the
 * parts need no locks. Work that takes more than a few milliseconds must use another dispatcher.
 *
 * @property incarnation the identifier of this process, different after each start
 */
class NodeContext(
    val settings: NodeSettings,
    val incarnation: String,
    val vertx: Vertx,
    val scope: CoroutineScope,
    val metrics: PrometheusMeterRegistry,
    val platform: PlatformPorts,
    val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    val logService: LogService get() = platform.logService
    val vmList: VmList get() = platform.vmList
    val weightStore: WeightStore get() = platform.weightStore

    /** This node as a member of the fleet. */
    val self: Member
        get() = Member(
            vm = settings.vm,
            incarnation = incarnation,
            availabilityZone = settings.availabilityZone,
            address = settings.peersAddress,
            heartbeat = 0,
        )
}
