package org.poplarshift.core.batch.sequence

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchResult
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.BatchScheduler
import org.poplarshift.core.batch.CarryPlanner
import org.poplarshift.core.batch.ChunkReference
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.batch.RunOutcome
import org.poplarshift.core.batch.RunVerdictMapper
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.core.verdict.Verdict

/** A simulated node, which reads the log and runs all jobs while it holds the slot. */
class SimulatedNode(val incarnation: String, private val simulation: BatchSimulation) {
    private class PendingAppend(val record: BatchRecord, val onAppended: (Long) -> Unit)

    private class PendingStart(val run: BatchRun, var offset: Long? = null)

    var index = BatchIndex(simulation.log.retentionStart)
        private set
    val inFlight = ArrayList<BatchRun>()
    var isPaused = false
    private var scheduler = BatchScheduler({ RunVerdictMapper(maximumAttempts = 3) })
    private val outgoing = ArrayDeque<PendingAppend>()
    private val starting = ArrayList<PendingStart>()
    private val results = LinkedHashMap<String, MutableList<ItemResult>>()
    private val unacknowledged = ArrayList<Pair<Long, BatchRecord.JobAccepted>>()
    private val uploaded = ArrayList<BatchRecord.JobAccepted>()
    private val carrying = HashSet<String>()
    private var term = -1
    private var isReady = false
    private val holderName: String
        get() = "$incarnation/$term"

    fun send(record: BatchRecord, onAppended: (Long) -> Unit = {}) {
        outgoing += PendingAppend(record, onAppended)
    }

    /** Appends the chunks in order. The acceptance follows when all chunks are in the log. */
    fun upload(accepted: BatchRecord.JobAccepted, chunkSize: Int) {
        val chunks = ArrayList<ChunkReference>()
        (0 until accepted.itemCount).chunked(chunkSize).forEachIndexed { chunk, indexes ->
            val items = indexes.map { BatchItem(it, "item$it", JsonNull) }
            send(BatchRecord.ItemsUploaded(accepted.uploadId, chunk, items)) { offset ->
                chunks += ChunkReference(offset, indexes.first())
                if (indexes.last() == accepted.itemCount - 1) uploaded += accepted.copy(chunks = chunks)
            }
        }
    }

    /** Accepts uploads whose items this node has read, so that it has applied all earlier acceptances. */
    private fun acceptUploaded() {
        val ready = uploaded.filter { it.chunks.last().offset < index.nextOffset }
        uploaded.removeAll(ready)
        ready.forEach(::accept)
    }

    private fun accept(accepted: BatchRecord.JobAccepted) {
        val earlier = index.find(JobKey(accepted.organisation, accepted.jobId))
        if (earlier != null && !BatchIndex.isExpired(earlier, simulation.nowMillis)) return
        val complete = accepted.copy(acceptedAtMillis = simulation.nowMillis, through = index.nextOffset - 1)
        send(complete) { unacknowledged += it to complete }
    }

    fun read(maximumRecords: Int) {
        if (index.nextOffset < simulation.log.retentionStart) index = BatchIndex(simulation.log.retentionStart)
        val end = minOf(simulation.log.end, index.nextOffset + maximumRecords)
        for (offset in index.nextOffset until end) applied(index.apply(offset, simulation.log.read(offset)))
        index.removeExpired(simulation.nowMillis, simulation.log.retentionStart)
        val visible = unacknowledged.filter { it.first < index.nextOffset }
        visible.forEach { (_, accepted) -> simulation.acknowledge(accepted, index) }
        unacknowledged.removeAll(visible)
        acceptUploaded()
    }

    private fun applied(result: BatchResult) {
        if (result is BatchResult.Recorded) scheduler.ended(result.job.uploadId, result.results.map { it.item })
        if (result is BatchResult.Carried) carrying -= result.job.uploadId
        val job = (result as? BatchResult.Cancelled)?.job ?: return
        stop(scheduler.remove(job.uploadId))
    }

    private fun stop(runs: List<BatchRun>) {
        inFlight.removeAll(runs)
        starting.removeIf { it.run in runs }
    }

    fun flush() {
        val next = outgoing.firstOrNull() ?: return
        val offset = simulation.log.append(next.record, simulation.nowMillis) ?: return
        outgoing.removeFirst()
        next.onAppended(offset)
    }

    /** Applies the ownership of the slot. A holder schedules jobs only after it has read the log to its end. */
    fun follow(holder: SimulatedNode?, currentTerm: Int) {
        if (holder !== this) {
            releaseSlot()
            return
        }
        if (term != currentTerm) releaseSlot()
        term = currentTerm
        if (index.nextOffset == simulation.log.end) isReady = true
        if (!isReady) return
        index.allJobs.filter { it.phase == JobPhase.RUNNING && !scheduler.isScheduling(it.uploadId) }.forEach { job ->
            scheduler.add(job).forEach { fail(job, it) }
        }
    }

    private fun releaseSlot() {
        if (!isReady) return
        isReady = false
        carrying.clear()
        stop(starting.map { it.run } + inFlight)
        scheduler = BatchScheduler({ RunVerdictMapper(maximumAttempts = 3) })
    }

    private fun fail(job: JobState, item: Int) = record(
        job.uploadId,
        ItemResult(
            item = item,
            id = "item$item",
            outcome = ItemOutcome.FAILED,
            ran = RunStatus.MAY_HAVE_RUN,
            reason = RefusalReason.OUTCOME_UNKNOWN,
        ),
    )

    fun startRun() {
        if (!isReady || carrying.isNotEmpty() || inFlight.size + starting.size >= MAXIMUM_RUNS) return
        val run = scheduler.next { true } ?: return
        val isStarted = index.findUpload(run.uploadId)?.starterOf(run.item) == holderName
        if (run.idempotent || isStarted || !simulation.rules.startBeforeDispatch) return dispatch(run)
        val start = PendingStart(run)
        starting += start
        send(BatchRecord.ItemsStarted(run.uploadId, listOf(run.item), holderName)) { start.offset = it }
    }

    /** Dispatches the items whose start record this node has read from the log. */
    fun dispatchStarted() {
        val known = starting.filter { start -> start.offset?.let { it < index.nextOffset } ?: false }
        starting.removeAll(known)
        for (start in known) {
            val run = start.run
            val starter = index.findUpload(run.uploadId)?.takeUnless { it.hasEnded(run.item) }?.starterOf(run.item)
            if (starter == holderName) dispatch(run) else end(run, Verdict.MayHaveRun(RefusalReason.OUTCOME_UNKNOWN))
        }
    }

    private fun dispatch(run: BatchRun) {
        inFlight += run
        simulation.dispatched(this, run)
    }

    fun end(run: BatchRun, verdict: Verdict) {
        inFlight -= run
        val outcome = scheduler.finish(run, verdict)
        val result =
            ItemResult(
                run.item,
                "item${run.item}",
                ItemOutcome.DONE,
                RunStatus.RAN,
                200,
                JsonPrimitive(simulation.next()),
            )
        when (outcome) {
            is RunOutcome.Done -> record(run.uploadId, result)
            is RunOutcome.Failed ->
                record(
                    run.uploadId,
                    result.copy(outcome = ItemOutcome.FAILED, ran = outcome.ran, reason = outcome.reason),
                )
            is RunOutcome.Retry, RunOutcome.Dropped -> Unit
        }
    }

    private fun record(uploadId: String, result: ItemResult) {
        results.getOrPut(uploadId) { ArrayList() } += result
    }

    fun flushResults() {
        val due = results.keys.filterNot { it in carrying }
        due.forEach { send(BatchRecord.ResultsRecorded(it, results.remove(it).orEmpty(), simulation.nowMillis)) }
    }

    /** Appends the records of a due job again before they leave the log's retention. */
    fun carry() {
        val isQuiet = outgoing.isEmpty() && starting.isEmpty() && index.nextOffset == simulation.log.end
        if (!isReady || !isQuiet) return
        val slots = setOf(BatchSimulation.SLOT)
        val job =
            CarryPlanner(BatchSimulation.CARRY_AFTER_MILLIS).due(index, slots, simulation.nowMillis).firstOrNull()
                ?: return
        carrying += job.uploadId
        val through = index.nextOffset - 1
        val chunks = Array(job.chunkCount) { job.chunk(it) }
        val segments = Array(job.segmentCount) { job.segment(it) }
        val snapshot = job.snapshot(emptyList(), emptyList())
        chunks.indices.filter(job::hasOpenItems).forEach { chunk ->
            val original = simulation.log.read(chunks[chunk].offset) as BatchRecord.ItemsUploaded
            send(original.copy(carried = true)) { chunks[chunk] = chunks[chunk].copy(offset = it) }
        }
        segments.indices.forEach { position ->
            val original = simulation.log.read(segments[position].offset) as BatchRecord.ResultsRecorded
            val valid = original.results.filterIndexed { at, _ -> at !in segments[position].dropped }
            send(original.copy(results = valid, carried = true)) {
                segments[position] = segments[position].copy(offset = it, dropped = emptyList())
            }
        }
        send(BatchRecord.ItemsUploaded(job.uploadId, chunk = -1, items = emptyList(), carried = true)) {
            val accepted = snapshot.accepted.copy(chunks = chunks.toList())
            val moved = snapshot.copy(accepted = accepted, segments = segments.toList())
            send(BatchRecord.JobCarried(moved, through, simulation.nowMillis)) { carrying -= job.uploadId }
        }
    }

    private companion object {
        const val MAXIMUM_RUNS = 4
    }
}
