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
 * Runs tasks across nodes: a job runs at the holder of its home slot, and a worker's batch share belongs to the holder
 * of the worker's slot, so that the first asks the second. The stream at the worker stays with the holder of the share,
 * which can cancel it at once when online requests come.
 */
class PeerTasks(
    private val context: NodeContext,
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val tasks: WorkerTasks,
    private val places: BatchPlaces,
    private val client: PeerClient,
    private val peersRouter: Router,
) : NodePart {
    private val askers = HashMap<String, Long>()
    private val lastAsked = HashMap<String, Long>()

    override suspend fun start() {
        peersRouter.post(RUN).suspendingHandler(context.scope, ::serveRun)
        peersRouter.post(ROOM).suspendingHandler(context.scope, ::serveRoom)
        peersRouter.post(CANCEL).suspendingHandler(context.scope, ::serveCancel)
    }

    /** Runs [task] at the worker of [place]. */
    suspend fun run(place: BatchPlace, task: BatchTask): TaskOutcome {
        val holder = place.holder ?: return tasks.run(task)
        try {
            val result =
                client.post(holder.address, RUN, task, BatchTask.serializer(), Ended.serializer(), MAXIMUM_TASK_MILLIS)
            val outcome = when (result) {
                is PeerResult.Answered -> result.response.outcome
                is PeerResult.Unreachable -> TaskOutcome.MayHaveRun(RefusalReason.CONNECTION_LOST)
            }
            if (outcome is TaskOutcome.NotRun) places.noRemoteRoom(place.worker)
            return outcome
        } catch (exception: CancellationException) {
            context.scope.launch { cancelRemote(holder, task.taskId) }
            throw exception
        }
    }

    /** Asks the holders of workers of [upstream] for room, each at most every [ASK_PERIOD_MILLIS]. */
    fun askForRoom(upstream: String) {
        val now = context.clock.millis()
        for (holder in places.holders(upstream)) {
            val question = "${holder.address} $upstream"
            if (now - (lastAsked[question] ?: Long.MIN_VALUE / 2) < ASK_PERIOD_MILLIS) continue
            lastAsked[question] = now
            context.scope.launch { ask(holder, upstream) }
        }
    }

    private suspend fun ask(holder: Peer, upstream: String) {
        val query = BatchCapacityRequest(context.incarnation, upstream)
        val result =
            client.post(
                holder.address,
                ROOM,
                query,
                BatchCapacityRequest.serializer(),
                BatchCapacityResponse.serializer(),
            )
        if (result is PeerResult.Answered) places.onRemoteRoom(result.response.capacity)
    }

    private suspend fun cancelRemote(holder: Peer, taskId: String) {
        client.post(holder.address, CANCEL, Cancel(taskId), Cancel.serializer(), Cancel.serializer())
    }

    private suspend fun serveRun(routing: RoutingContext) {
        val task = routing.readMessage(BatchTask.serializer()) ?: return
        val isHeld = isHolding(task.upstream, task.worker)
        val outcome = if (isHeld) tasks.run(task) else TaskOutcome.NotRun(RefusalReason.NO_WORKER)
        routing.json(Ended.serializer(), Ended(outcome))
    }

    private suspend fun serveRoom(routing: RoutingContext) {
        val query = routing.readMessage(BatchCapacityRequest.serializer()) ?: return
        val now = context.clock.millis()
        askers[query.node] = now
        askers.values.removeIf { now - it > ASKER_MILLIS }
        val room = places.placesOf(query.upstream)
            .filter { it.holder == null }
            .associate { it.worker to part(tasks.room(it.worker)) }
        routing.json(BatchCapacityResponse.serializer(), BatchCapacityResponse(room))
    }

    // Rounded up, so that the last place is offered too; an asker that comes too late is told so when it sends a task.
    private fun part(room: Int): Int = (room.coerceAtLeast(0) + askers.size - 1) / askers.size

    private suspend fun serveCancel(routing: RoutingContext) {
        val message = routing.readMessage(Cancel.serializer()) ?: return
        tasks.cancel(message.taskId)
        routing.json(Cancel.serializer(), message)
    }

    private fun isHolding(upstream: String, worker: String): Boolean {
        val catalogue = store.current.value.catalogue ?: return false
        val found = catalogue.upstream(upstream) ?: return false
        val place = found.workers.firstOrNull { it.id == worker } ?: return false
        return ownership.isHolding(WorkerSlot.of(catalogue, found, place))
    }

    @Serializable
    private data class Ended(val outcome: TaskOutcome)

    @Serializable
    private data class Cancel(val taskId: String)

    private companion object {
        const val RUN = "/peer/batch/run"
        const val ROOM = "/peer/batch/room"
        const val CANCEL = "/peer/batch/cancel"
        const val ASK_PERIOD_MILLIS = 200L
        const val ASKER_MILLIS = 1_000L

        // Longer than the longest generation; a holder that dies closes the connection much earlier.
        const val MAXIMUM_TASK_MILLIS = 600_000L
    }
}
