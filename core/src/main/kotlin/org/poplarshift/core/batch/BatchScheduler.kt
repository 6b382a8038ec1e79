package org.poplarshift.core.batch

import org.poplarshift.core.verdict.Verdict

/**
 * Selects the next batch item to run at the holder of a slot. It contains only the jobs of the slots that this node
 * holds. Its state is not persisted; the next holder rebuilds it from the log.
 *
 * @param verdicts returns the current rules for the outcome of a run
 * @param weightOf returns the weight of an organisation in the catalogue
 */
class BatchScheduler(
    private val verdicts: () -> RunVerdictMapper,
    private val weightOf: (organisation: String) -> Double = { 1.0 },
) {
    private val queues = LinkedHashMap<String, JobQueue>()
    private val running = LinkedHashMap<Long, BatchRun>()
    private val shares = OrganisationShares()
    private var lastRunId = 0L

    /** The number of active runs. */
    val runningCount: Int
        get() = running.size

    fun isScheduling(uploadId: String): Boolean = uploadId in queues

    /**
     * Adds [job] to the schedule. Returns the non-idempotent items that an earlier holder, or this node before it lost
     * the slot, started without recording a result. These items must not be sent again; the caller records them as
     * failed.
     */
    fun add(job: JobState): List<Int> {
        if (job.phase != JobPhase.RUNNING || job.uploadId in queues) return emptyList()
        val waiting = job.openItems()
        val started = generateSequence(waiting.next()) { waiting.next(it + 1) }
            .takeWhile { it >= 0 }
            .filter { job.starterOf(it) != null }
            .toList()
        started.forEach(waiting::remove)
        queues[job.uploadId] = JobQueue(job, waiting)
        return started
    }

    /** Removes a job that was cancelled, has ended or moved to another holder. Returns its active runs to cancel. */
    fun remove(uploadId: String): List<BatchRun> {
        queues.remove(uploadId)
        val runs = running.values.filter { it.uploadId == uploadId }
        runs.forEach { running.remove(it.runId) }
        return runs
    }

    /** Starts the next run for an upstream for which [hasRoom] returns true, or returns null. */
    fun next(hasRoom: (upstream: String) -> Boolean): BatchRun? {
        val ready = LinkedHashMap<String, JobQueue>()
        for (queue in queues.values) {
            val organisation = queue.job.key.organisation
            if (organisation !in ready && hasRoom(queue.job.upstream) && queue.peek() >= 0) ready[organisation] = queue
        }
        val organisation = shares.choose(ready.keys) ?: return null
        shares.charge(organisation, cost = 1.0, weight = weightOf(organisation))
        return start(ready.getValue(organisation))
    }

    private fun start(queue: JobQueue): BatchRun {
        val item = queue.peek()
        val job = queue.job
        val run = BatchRun(
            runId = ++lastRunId,
            uploadId = job.uploadId,
            organisation = job.key.organisation,
            upstream = job.upstream,
            item = item,
            attempt = queue.take(item),
            idempotent = job.idempotent,
        )
        running[run.runId] = run
        return run
    }

    /** Ends [run]. The verdict of a run that is no longer active is discarded. */
    fun finish(run: BatchRun, verdict: Verdict): RunOutcome {
        val queue = queues[run.uploadId]
        if (running.remove(run.runId) == null || queue == null) return RunOutcome.Dropped
        if (queue.job.hasEnded(run.item)) return RunOutcome.Dropped
        val outcome = verdicts().map(run, verdict)
        if (outcome is RunOutcome.Retry) {
            queue.requeue(run.item, run.attempt, countsAttempt = verdict !is Verdict.NotRun)
        } else {
            queue.remove(run.item)
        }
        return outcome
    }

    /** Abandons [run] to free capacity for online requests. Its item is queued again; the attempt is not counted. */
    fun yieldRun(run: BatchRun) {
        if (running.remove(run.runId) == null) return
        queues[run.uploadId]?.requeue(run.item, run.attempt, countsAttempt = false)
    }

    /** Replaces the state of a job after its snapshot was applied. */
    fun replace(job: JobState) {
        queues[job.uploadId]?.job = job
    }

    /** Whether [run] has neither ended nor been abandoned. */
    fun isActive(run: BatchRun): Boolean = run.runId in running

    /** The runs that have neither ended nor been abandoned. */
    fun activeRuns(): List<BatchRun> = running.values.toList()

    /** Removes items whose result is recorded, possibly by another holder. */
    fun ended(uploadId: String, items: List<Int>) {
        val queue = queues[uploadId] ?: return
        items.forEach(queue::remove)
    }
}
