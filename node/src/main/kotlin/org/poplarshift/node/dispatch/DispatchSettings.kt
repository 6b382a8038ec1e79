package org.poplarshift.node.dispatch

import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.core.routing.WorkerHealthSettings
import org.poplarshift.node.settings.NodeSettings

/**
 * How the dispatcher works.
 *
 * @property isBounded whether requests wait in this node when the workers are full; false is the baseline, in which
 * every request goes to an engine at once
 * @property queueLength online requests that wait for each upstream
 * @property exclusiveWaitMillis how long a suspect may wait for a worker of its own
 */
data class DispatchSettings(
    val policy: RoutingPolicyChoice,
    val isBounded: Boolean = true,
    val queueLength: Int = 1_024,
    val exclusiveWaitMillis: Long = 10_000,
    val health: WorkerHealthSettings = WorkerHealthSettings(),
) {
    companion object {
        /** The dispatcher's part of the node's settings. Round robin without batch control is the baseline. */
        fun of(settings: NodeSettings) = DispatchSettings(
            policy = settings.routing,
            isBounded = settings.batchControl || settings.routing != RoutingPolicyChoice.RoundRobin,
        )
    }
}
