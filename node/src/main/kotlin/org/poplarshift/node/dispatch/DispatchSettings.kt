package org.poplarshift.node.dispatch

import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.core.routing.WorkerHealthSettings
import org.poplarshift.node.settings.NodeSettings

/**
 * Settings of the dispatcher.
 *
 * @property isBounded whether requests queue in this node while all workers are at capacity; false is the baseline, in
 * which every request is sent to a worker at once
 * @property queueLength maximum number of queued online requests for each upstream
 * @property exclusiveWaitMillis how long a suspect may wait for a worker on which nothing else runs, unless its
 * own deadline is later
 */
data class DispatchSettings(
    val policy: RoutingPolicyChoice,
    val isBounded: Boolean = true,
    val queueLength: Int = 1_024,
    val exclusiveWaitMillis: Long = 10_000,
    val health: WorkerHealthSettings = WorkerHealthSettings(),
) {
    companion object {
        /** Derives the dispatcher's settings from the node's. Round robin without batch control is the baseline. */
        fun of(settings: NodeSettings) = DispatchSettings(
            policy = settings.routing,
            isBounded = settings.batchControl || settings.routing != RoutingPolicyChoice.RoundRobin,
        )
    }
}
