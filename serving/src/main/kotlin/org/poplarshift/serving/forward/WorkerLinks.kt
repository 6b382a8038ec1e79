package org.poplarshift.serving.forward

import io.micrometer.core.instrument.MeterRegistry
import io.vertx.core.Vertx
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.observe.UnusableResponseRecorder
import org.poplarshift.serving.peer.DirectPath
import org.poplarshift.serving.peer.PeerWorkerRelay
import org.poplarshift.serving.peer.WorkerRelayServer

/**
 * The connections of a node to workers: direct ones, or through other nodes while this node reaches no worker itself.
 *
 * @param peers returns the nodes that may relay requests
 */
class WorkerLinks(
    vertx: Vertx,
    localHost: String,
    tasks: BackgroundTasks,
    clock: MonotonicClock,
    metrics: MeterRegistry,
    private val workers: LoadBalancer,
    recorder: UnusableResponseRecorder,
    peers: () -> List<FleetMember>,
) : WorkerConnectionObserver {
    /** Whether this node reaches workers itself. */
    val path = DirectPath(clock, "any worker", ::onPathChanged)

    private val direct: WorkerConnector =
        ObservedWorkerConnector(DirectWorkerConnector(vertx, localHost), path) { monitor.onSuspicion() }
    private val relay = PeerWorkerRelay(vertx, localHost, clock, metrics, peers)

    /** The pool of connections for requests. */
    val connections: WorkerConnectionPool =
        WorkerConnectionPool(RelayedWorkerConnector(direct, relay, path), clock, recorder, observer = this)

    private val monitor: WorkerPathMonitor = WorkerPathMonitor(tasks, workers, direct, connections, path)

    /** Connects other nodes to workers. */
    val relayServer = WorkerRelayServer(tasks, clock, workers, direct, path)

    /** Detects that workers can be reached again, until cancelled. */
    suspend fun run() = monitor.run()

    override fun onSlow(connection: WorkerConnection) {
        if (connection.relay == null) monitor.onSuspicion()
    }

    override fun onSilent(connection: WorkerConnection) {
        val peer = connection.relay ?: return monitor.onSuspicion()
        relay.onSilent(peer)
        connections.closeIdle { it.relay == peer }
    }

    // Connections from before the change would hold up requests, or take a way that is longer than needed. Workers that this
    // node did not reach may be reached through others.
    private fun onPathChanged(isDirect: Boolean) {
        connections.closeIdle { isDirect == (it.relay != null) }
        if (!isDirect) workers.workerStates.forEach { it.onReachable() }
    }
}
