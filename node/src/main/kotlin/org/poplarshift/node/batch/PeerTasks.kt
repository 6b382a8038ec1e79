package org.poplarshift.node.batch

import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.poplarshift.core.batch.WorkerSlot
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.json
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerResult
import org.poplarshift.wire.BatchCapacityRequest
import org.poplarshift.wire.BatchCapacityResponse

/**
 * Runs tasks across nodes. The holder of a job's home slot sends each task to the holder of the worker's slot, which
 * manages the worker's batch capacity. That node opens the stream to the worker, so that it can cancel the stream
 * immediately when online requests arrive.
 */
class PeerTasks(
    private val context: NodeContext,
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val tasks: WorkerTasks,
    private val placements: BatchPlacements,
    private val client: PeerClient,
    private val peersRouter: Router,
) : NodePart {
    private val requesters = HashMap<String, Long>()
    private val lastRequested = HashMap<String, Long>()

    override suspend fun start() {
        peersRouter.post(RUN).suspendingHandler(context.scope, ::serveRun)
        peersRouter.post(CAPACITY).suspendingHandler(context.scope, ::serveCapacity)
        peersRouter.post(CANCEL).suspendingHandler(context.scope, ::serveCancel)
    }

    /** Runs [task] at the worker of [placement]. */
    suspend fun run(placement: BatchPlacement, task: BatchTask): TaskOutcome {
        val holder = placement.holder ?: return tasks.run(task)
        try {
            val result =
                client.post(
                    holder.address,
                    RUN,
                    task,
                    BatchTask.serializer(),
                    TaskResult.serializer(),
                    MAXIMUM_TASK_MILLIS,
                )
            val outcome = when (result) {
                is PeerResult.Answered -> result.response.outcome
                is PeerResult.Unreachable -> TaskOutcome.MayHaveRun(RefusalReason.CONNECTION_LOST)
            }
            if (outcome is TaskOutcome.NotRun) placements.clearRemoteCapacity(placement.worker)
            return outcome
        } catch (exception: CancellationException) {
            context.scope.launch { cancelRemote(holder, task.taskId) }
            throw exception
        }
    }

    /** Requests the free capacity for [upstream] from each holder at most once every [REQUEST_PERIOD_MILLIS]. */
    fun requestCapacity(upstream: String) {
        val now = context.clock.millis()
        for (holder in placements.holders(upstream)) {
            val requestKey = "${holder.address} $upstream"
            if (now - (lastRequested[requestKey] ?: Long.MIN_VALUE / 2) < REQUEST_PERIOD_MILLIS) continue
            lastRequested[requestKey] = now
            context.scope.launch { requestCapacityFrom(holder, upstream) }
        }
    }

    private suspend fun requestCapacityFrom(holder: Peer, upstream: String) {
        val query = BatchCapacityRequest(context.incarnation, upstream)
        val result =
            client.post(
                holder.address,
                CAPACITY,
                query,
                BatchCapacityRequest.serializer(),
                BatchCapacityResponse.serializer(),
            )
        if (result is PeerResult.Answered) placements.onRemoteCapacity(result.response.capacity)
    }

    private suspend fun cancelRemote(holder: Peer, taskId: String) {
        client.post(
            holder.address,
            CANCEL,
            CancelRequest(taskId),
            CancelRequest.serializer(),
            CancelRequest.serializer(),
        )
    }

    private suspend fun serveRun(routing: RoutingContext) {
        val task = routing.readMessage(BatchTask.serializer()) ?: return
        val isHolder = isHolding(task.upstream, task.worker)
        val outcome = if (isHolder) tasks.run(task) else TaskOutcome.NotRun(RefusalReason.NO_WORKER)
        routing.json(TaskResult.serializer(), TaskResult(outcome))
    }

    private suspend fun serveCapacity(routing: RoutingContext) {
        val query = routing.readMessage(BatchCapacityRequest.serializer()) ?: return
        val now = context.clock.millis()
        requesters[query.node] = now
        requesters.values.removeIf { now - it > REQUESTER_TTL_MILLIS }
        val capacity = placements.placementsOf(query.upstream)
            .filter { it.holder == null }
            .associate { it.worker to shareOf(tasks.freeCapacity(it.worker)) }
        routing.json(BatchCapacityResponse.serializer(), BatchCapacityResponse(capacity))
    }

    // Rounding up also offers the last unit of capacity. A requester that loses the race gets NotRun for its task.
    private fun shareOf(capacity: Int): Int = (capacity.coerceAtLeast(0) + requesters.size - 1) / requesters.size

    private suspend fun serveCancel(routing: RoutingContext) {
        val message = routing.readMessage(CancelRequest.serializer()) ?: return
        tasks.cancel(message.taskId)
        routing.json(CancelRequest.serializer(), message)
    }

    private fun isHolding(upstream: String, worker: String): Boolean {
        val catalogue = store.current.value.catalogue ?: return false
        val found = catalogue.upstream(upstream) ?: return false
        val target = found.workers.firstOrNull { it.id == worker } ?: return false
        return ownership.isHolding(WorkerSlot.of(catalogue, found, target))
    }

    @Serializable
    private data class TaskResult(val outcome: TaskOutcome)

    @Serializable
    private data class CancelRequest(val taskId: String)

    private companion object {
        const val RUN = "/peer/batch/run"
        const val CAPACITY = "/peer/batch/room"
        const val CANCEL = "/peer/batch/cancel"
        const val REQUEST_PERIOD_MILLIS = 200L
        const val REQUESTER_TTL_MILLIS = 1_000L

        // Longer than the longest generation. The connection to a crashed holder closes much earlier.
        const val MAXIMUM_TASK_MILLIS = 600_000L
    }
}
