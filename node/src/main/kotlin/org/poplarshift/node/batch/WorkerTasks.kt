package org.poplarshift.node.batch

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.poplarshift.core.batch.WorkerBatchStreams
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.dispatch.BatchDecision
import org.poplarshift.node.dispatch.BatchWorkers
import org.poplarshift.node.dispatch.DispatchDecision
import org.poplarshift.node.dispatch.DispatchTicket
import org.poplarshift.node.dispatch.UpstreamDispatcher
import org.poplarshift.node.dispatch.WorkerGrant
import org.poplarshift.node.forward.UpstreamClient
import org.poplarshift.node.forward.UpstreamRequest

/** Runs tasks on the workers whose slots this node holds and cancels them when online requests need capacity. */
class WorkerTasks(
    private val store: ConfigurationStore,
    private val workers: BatchWorkers,
    private val dispatcher: UpstreamDispatcher,
    private val client: UpstreamClient,
    private val isControlled: Boolean,
) {
    private class RunningTask(val task: BatchTask, val work: Deferred<TaskOutcome>) {
        var hasYielded = false
    }

    private val streamsByWorker = HashMap<String, WorkerBatchStreams<RunningTask>>()
    private val running = HashMap<String, RunningTask>()

    /** The number of tasks that yielded to online requests. */
    var yieldCount = 0L
        private set

    /** The number of running tasks. */
    val runningCount: Int
        get() = running.size

    init {
        if (isControlled) workers.addListener(::yieldCapacity)
    }

    /** Returns how many more tasks can start on [worker] now. */
    fun freeCapacity(worker: String): Int {
        if (isControlled) return workers.batchRoom(worker, headroom())
        val capacity = catalogue()?.upstreams?.flatMap { it.workers }?.firstOrNull { it.id == worker }?.capacity ?: 0
        return capacity - runningAt(worker)
    }

    /** Returns the number of tasks that run on [worker]. */
    fun runningAt(worker: String): Int = streamsByWorker[worker]?.running ?: 0

    /** Updates the number of online requests that [node] runs on [worker]. */
    fun onDemand(node: String, worker: String, requests: Int) {
        val streams = streamsOf(worker)
        streams.setPeerOnline(node, requests)
        workers.onPeerDemand(worker, streams.peerOnline)
        yieldCapacity(worker)
    }

    /** Removes the reports of all nodes that are not in [nodes]. */
    fun retainNodes(nodes: Set<String>) = streamsByWorker.forEach { (worker, streams) ->
        val before = streams.peerOnline
        streams.retainNodes(nodes)
        if (streams.peerOnline != before) workers.onPeerDemand(worker, streams.peerOnline)
    }

    /** Cancels the newest tasks of [worker] until batch is within its limit. */
    fun yieldCapacity(worker: String) {
        if (!isControlled) return
        val surplus = -workers.batchRoom(worker, headroom())
        streamsByWorker[worker]?.newestCancellable(surplus)?.filterNot { it.hasYielded }?.forEach {
            it.hasYielded = true
            yieldCount++
            it.work.cancel()
        }
    }

    /** Cancels the task [taskId] and its stream to the worker. */
    fun cancel(taskId: String) {
        running[taskId]?.work?.cancel()
    }

    /** Runs [task]. Cancelling the calling coroutine cancels the stream to the worker. */
    suspend fun run(task: BatchTask): TaskOutcome {
        val upstream = catalogue()?.upstream(task.upstream)
        val isKnown = upstream?.workers.orEmpty().any { it.id == task.worker }
        if (upstream == null || !isKnown || freeCapacity(task.worker) <= 0) {
            return TaskOutcome.NotRun(RefusalReason.NO_WORKER)
        }
        val grant = when (val decision = workers.tryAcquire(upstream, task.worker, task.fingerprint)) {
            is BatchDecision.Granted -> decision.grant
            BatchDecision.NoRoom -> return TaskOutcome.NotRun(RefusalReason.NO_WORKER)
            BatchDecision.Quarantined -> return TaskOutcome.Quarantined
            BatchDecision.Suspect -> return runAlone(upstream, task)
        }
        return runYielding(upstream, task, grant)
    }

    private suspend fun runYielding(upstream: Upstream, task: BatchTask, grant: WorkerGrant): TaskOutcome {
        var started: RunningTask? = null
        try {
            return coroutineScope {
                val work = async { send(upstream, task, grant) }
                val run = RunningTask(task, work)
                started = run
                running[task.taskId] = run
                streamsOf(task.worker).start(run, cancellable = task.idempotent)
                work.await()
            }
        } catch (exception: CancellationException) {
            if (started?.hasYielded != true) throw exception
            return TaskOutcome.Yielded
        } finally {
            running.remove(task.taskId)
            started?.let { streamsOf(task.worker).end(it) }
        }
    }

    // A request that may have crashed a worker must not run next to another suspect. The dispatcher ensures that.
    private suspend fun runAlone(upstream: Upstream, task: BatchTask): TaskOutcome {
        val weight = catalogue()?.organisation(task.organisation)?.weight ?: 1.0
        val ticket = DispatchTicket(task.organisation, weight, task.costTokens, task.fingerprint)
        return when (val decision = dispatcher.acquire(upstream, ticket)) {
            is DispatchDecision.Granted -> send(upstream, task, decision.grant)
            is DispatchDecision.Refused ->
                if (decision.reason == RefusalReason.QUARANTINED) {
                    TaskOutcome.Quarantined
                } else {
                    TaskOutcome.NotRun(decision.reason)
                }
        }
    }

    private suspend fun send(upstream: Upstream, task: BatchTask, grant: WorkerGrant): TaskOutcome {
        val sink = CollectingSink(MAXIMUM_RESULT_BYTES)
        var verdict: Verdict = Verdict.MayHaveRun(RefusalReason.CANCELLED)
        try {
            verdict = client.send(grant.worker, request(upstream, task), sink)
        } finally {
            grant.release(verdict, firstByteMillis = null)
        }
        return when (val ended = verdict) {
            is Verdict.NotRun -> TaskOutcome.NotRun(ended.reason)
            is Verdict.MayHaveRun -> TaskOutcome.MayHaveRun(ended.reason)
            is Verdict.Answered ->
                if (sink.isTooLarge) {
                    TaskOutcome.Answered(TOO_LARGE_STATUS, "\"the response exceeds $MAXIMUM_RESULT_BYTES bytes\"")
                } else {
                    TaskOutcome.Answered(ended.status, sink.text())
                }
        }
    }

    private fun request(upstream: Upstream, task: BatchTask) = UpstreamRequest(
        requestId = task.taskId,
        method = HttpMethod.POST,
        path = task.path,
        headers = MultiMap.caseInsensitiveMultiMap().add("Content-Type", "application/json"),
        body = Buffer.buffer(task.body),
        timeouts = upstream.timeouts,
        kind = upstream.kind,
    )

    private fun streamsOf(worker: String) = streamsByWorker.getOrPut(worker) { WorkerBatchStreams() }

    private fun catalogue(): Catalogue? = store.current.value.catalogue

    private fun headroom(): Int = catalogue()?.batch?.headroom ?: 1

    private companion object {
        // A result must fit into a log record.
        const val MAXIMUM_RESULT_BYTES = 262_144

        // A permanent failure, because another attempt would return a response of similar size.
        const val TOO_LARGE_STATUS = 413
    }
}
