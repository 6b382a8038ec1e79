package org.poplarshift.node.batch

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.BatchScheduler
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.batch.RunOutcome
import org.poplarshift.core.batch.RunVerdictMapper
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.ownership.OwnedSlot
import org.poplarshift.node.ownership.SlotOwnership

/** Runs the jobs whose home slots this node holds. */
class BatchRunner(
    private val context: NodeContext,
    private val store: ConfigurationStore,
    private val ownership: SlotOwnership,
    private val batchLog: BatchLog,
    private val placements: BatchPlacements,
    private val peerTasks: PeerTasks,
    private val results: ResultSender,
    private val execution: RunExecution,
) : NodePart {
    private val scheduler = BatchScheduler(::verdictMapper, ::weightOf)
    private val ready = HashMap<Slot, OwnedSlot>()
    private val runs = HashMap<Long, Job>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private var isLeaving = false

    /** The slots whose jobs this node runs. */
    val readySlots: Set<Slot>
        get() = ready.keys

    override suspend fun start() {
        batchLog.addListener(::onApplied)
        context.metrics.gauge("poplarshift.batch.running", this) { it.runs.size.toDouble() }
        context.scope.launch { ownership.ownedSlots.collect(::onOwnedSlotsChanged) }
        context.scope.launch {
            while (isActive) {
                withTimeoutOrNull(TICK_MILLIS) { wakeUps.receive() }
                startRuns()
            }
        }
    }

    // No caller waits for batch items, so idempotent runs return to the queue and the next holder runs them.
    override suspend fun leave() {
        isLeaving = true
        scheduler.activeRuns().filter { it.idempotent }.forEach(::abandon)
    }

    /** Triggers a scheduling pass without waiting for the next tick. */
    fun wake() {
        wakeUps.trySend(Unit)
    }

    private fun onOwnedSlotsChanged(owned: Set<OwnedSlot>) {
        val lost = ready.values.filterNot { it in owned }
        lost.forEach(::release)
        owned.filterNot { ready[it.slot] == it }.forEach { slot -> context.scope.launch { acquireSlot(slot) } }
    }

    private fun release(owned: OwnedSlot) {
        ready.remove(owned.slot)
        log.info { "batch: slot ${owned.slot} is no longer held; stopping its jobs" }
        batchLog.index.allJobs.filter { it.slot == owned.slot }.forEach { removeJob(it.uploadId) }
    }

    private suspend fun acquireSlot(owned: OwnedSlot) {
        while (owned in ownership.ownedSlots.value && !batchLog.catchUp()) delay(RETRY_MILLIS)
        if (owned !in ownership.ownedSlots.value || ready[owned.slot] == owned) return
        ready[owned.slot] = owned
        val jobs = batchLog.index.allJobs.filter { it.slot == owned.slot && it.phase == JobPhase.RUNNING }
        log.info { "batch: acquired slot ${owned.slot} with ${jobs.size} running jobs" }
        jobs.forEach(::addJob)
    }

    private fun onApplied(result: BatchResult) {
        when (result) {
            is BatchResult.Accepted -> if (result.job.slot in ready) addJob(result.job)
            is BatchResult.Cancelled -> removeJob(result.job.uploadId)
            is BatchResult.Carried -> scheduler.replace(result.job)
            is BatchResult.Recorded -> onRecorded(result)
            else -> Unit
        }
    }

    private fun onRecorded(result: BatchResult.Recorded) {
        scheduler.ended(result.job.uploadId, result.results.map { it.item })
        if (result.job.phase != JobPhase.RUNNING) removeJob(result.job.uploadId)
    }

    private fun addJob(job: JobState) {
        val lost = scheduler.add(job)
        if (lost.isNotEmpty()) {
            log.info { "batch: ${lost.size} items of job ${job.key.jobId} may have run before; failing them" }
            context.scope.launch { failLost(job.uploadId, lost) }
        }
        wake()
    }

    private suspend fun failLost(uploadId: String, items: List<Int>) {
        for (index in items) {
            while (true) {
                val job = batchLog.index.findUpload(uploadId)?.takeIf { it.slot in ready } ?: return
                val item = execution.read(job, index)
                if (item != null) {
                    results.add(uploadId, ResultMapper.lost(item))
                    break
                }
                delay(RETRY_MILLIS)
            }
        }
    }

    private fun removeJob(uploadId: String) = scheduler.remove(uploadId).forEach { runs.remove(it.runId)?.cancel() }

    private fun startRuns() {
        if (isLeaving || results.isFull) return
        val upstreamsWithoutCapacity = HashSet<String>()
        var isStarting = true
        while (isStarting && runs.size < MAXIMUM_RUNS) {
            val run = scheduler.next { upstream ->
                (placements.choose(upstream) != null).also { if (!it) upstreamsWithoutCapacity += upstream }
            }
            isStarting = run != null && startRun(run)
        }
        upstreamsWithoutCapacity.forEach(peerTasks::requestCapacity)
    }

    private fun startRun(run: BatchRun): Boolean {
        val slot = batchLog.index.findUpload(run.uploadId)?.slot
        val owned = slot?.takeIf(ownership::isHolding)?.let { ready[it] }
        val placement = placements.choose(run.upstream)
        if (owned == null || placement == null) {
            scheduler.yieldRun(run)
            return false
        }
        launchRun(run, placement, holder = "${context.incarnation}/${owned.fencingToken}")
        return true
    }

    private fun launchRun(run: BatchRun, placement: BatchPlacement, holder: String) {
        placements.reserve(placement)
        if (placement.holder != null) placements.consumeRemoteCapacity(placement.worker)
        val job = context.scope.launch(start = CoroutineStart.LAZY) {
            try {
                val ended = execution.execute(run, placement, holder) { scheduler.isActive(run) }
                onEnded(run, ended)
            } catch (exception: CancellationException) {
                throw exception
            } catch (exception: Exception) {
                log.error(exception) { "batch: run of item ${run.item} of upload ${run.uploadId} failed" }
                delay(FAILURE_PAUSE_MILLIS)
                val item = batchLog.index.findUpload(run.uploadId)?.let { execution.read(it, run.item) }
                onEnded(run, EndedRun(Verdict.MayHaveRun(RefusalReason.INTERNAL), item?.id.orEmpty()))
            } finally {
                runs.remove(run.runId)
                wake()
            }
        }
        runs[run.runId] = job
        job.start()
    }

    private fun onEnded(run: BatchRun, ended: EndedRun) {
        val verdict = ended.verdict
        if (verdict == null) {
            scheduler.yieldRun(run)
            return
        }
        val outcome = scheduler.finish(run, verdict)
        val result = ResultMapper.map(run, ended, outcome)
        if (result != null) results.add(run.uploadId, result)
        if (outcome is RunOutcome.Retry) log.debug { "batch: item ${run.item} of ${run.uploadId}: ${outcome.reason}" }
    }

    private fun abandon(run: BatchRun) {
        scheduler.yieldRun(run)
        runs.remove(run.runId)?.cancel()
    }

    private fun verdictMapper(): RunVerdictMapper =
        RunVerdictMapper(store.current.value.catalogue?.batch?.maximumAttempts ?: DEFAULT_ATTEMPTS)

    private fun weightOf(organisation: String): Double =
        store.current.value.catalogue?.organisation(organisation)?.weight ?: 1.0

    private companion object {
        val log = KotlinLogging.logger {}
        const val TICK_MILLIS = 50L
        const val RETRY_MILLIS = 200L
        const val FAILURE_PAUSE_MILLIS = 1_000L
        const val MAXIMUM_RUNS = 1_024
        const val DEFAULT_ATTEMPTS = 3
    }
}
