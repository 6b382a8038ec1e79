package org.poplarshift.node.batch

import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.batch.WorkerSlot
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.dispatch.BatchWorkers
import org.poplarshift.node.http.json
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerDirectory
import org.poplarshift.node.peer.PeerResult
import org.poplarshift.wire.OnlineDemand
import org.poplarshift.wire.OnlineDemandResponse

/**
 * Reports the number of online requests that this node runs on a worker to the holder of the worker's slot, so that
 * batch tasks yield before the delayed load report shows those requests. The response has the number of batch tasks.
 */
class DemandReporter(
    private val context: NodeContext,
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val peers: PeerDirectory,
    private val workers: BatchWorkers,
    private val tasks: WorkerTasks,
    private val client: PeerClient,
    private val peersRouter: Router,
) : NodePart {
    private class Reported(val running: Map<String, Int>, val sentMillis: Long)

    private val reported = HashMap<String, Reported>()
    private val batchTasksByWorker = HashMap<String, Int>()
    private val sending = HashSet<String>()

    override suspend fun start() {
        peersRouter.post(DEMAND).suspendingHandler(context.scope, ::serve)
        context.scope.launch {
            while (isActive) {
                delay(PERIOD_MILLIS)
                report()
            }
        }
        context.scope.launch {
            peers.peers.collect { current -> tasks.retainNodes(current.mapTo(HashSet()) { it.incarnation }) }
        }
    }

    private fun report() {
        for ((holder, workersOfHolder) in remoteWorkers()) {
            val running = workersOfHolder
                .associateWith { workers.ownOnlineRunning(it) }
                .filter { it.value > 0 || (reported[holder.address]?.running?.get(it.key) ?: 0) > 0 }
            if (isDue(holder, workersOfHolder, running)) context.scope.launch { send(holder, running) }
        }
    }

    private fun isDue(holder: Peer, workersOfHolder: List<String>, running: Map<String, Int>): Boolean {
        if (holder.address in sending) return false
        val last = reported[holder.address]
        val age = last?.let { context.clock.millis() - it.sentMillis } ?: Long.MAX_VALUE
        val hasBatch = workersOfHolder.any { (batchTasksByWorker[it] ?: 0) > 0 }
        val hasChanged = running != last?.running.orEmpty()
        // Without batch tasks, changes need no report. Nodes with online requests poll for the start of batch tasks.
        return (hasBatch && (hasChanged || age >= REPEAT_MILLIS)) || (running.isNotEmpty() && age >= REPEAT_MILLIS)
    }

    private suspend fun send(holder: Peer, running: Map<String, Int>) {
        sending += holder.address
        reported[holder.address] = Reported(running, context.clock.millis())
        val message = OnlineDemand(context.incarnation, running)
        val result = client.post(
            holder.address,
            DEMAND,
            message,
            OnlineDemand.serializer(),
            OnlineDemandResponse.serializer(),
            TIMEOUT_MILLIS,
        )
        sending -= holder.address
        if (result !is PeerResult.Answered) return
        result.response.batch.forEach { (worker, count) ->
            batchTasksByWorker[worker] = count
            workers.onBatchAnnounced(worker, count)
        }
    }

    private suspend fun serve(routing: RoutingContext) {
        val demand = routing.readMessage(OnlineDemand.serializer()) ?: return
        demand.running.forEach { (worker, requests) -> tasks.onDemand(demand.node, worker, requests) }
        val batch = demand.running.keys.associateWith { tasks.runningAt(it) }
        routing.json(OnlineDemandResponse.serializer(), OnlineDemandResponse(batch))
    }

    private fun remoteWorkers(): Map<Peer, List<String>> {
        val catalogue = store.current.value.catalogue ?: return emptyMap()
        val found = HashMap<Peer, MutableList<String>>()
        for (upstream in catalogue.upstreams) {
            val relevant =
                upstream.workers.filter { workers.ownOnlineRunning(it.id) > 0 || it.id in batchTasksByWorker }
            for (worker in relevant) {
                val holder = ownership.holderOf(WorkerSlot.of(catalogue, upstream, worker))
                if (holder != null) found.getOrPut(holder) { ArrayList() } += worker.id
            }
        }
        return found
    }

    private companion object {
        const val DEMAND = "/peer/demand"
        const val PERIOD_MILLIS = 20L
        const val REPEAT_MILLIS = 400L
        const val TIMEOUT_MILLIS = 500L
    }
}
