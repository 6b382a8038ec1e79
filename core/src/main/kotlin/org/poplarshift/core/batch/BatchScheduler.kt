package org.poplarshift.core.batch

import org.poplarshift.core.verdict.Verdict

/**
 * Decides which batch item runs next at the holder of a slot. It keeps only the jobs of the slots that this node holds,
 * and is lost with the node: the next holder builds its own from the log.
 *
 * @param verdicts the rules in force
 * @param weightOf the weight of an organisation in the catalogue
 */
class BatchScheduler(
    private val verdicts: () -> RunVerdictMapper,
    private val weightOf: (organisation: String) -> Double = { 1.0 },
) {
    private val queues = LinkedHashMap<String, JobQueue>()
    private val running = LinkedHashMap<Long, BatchRun>()
    private val shares = OrganisationShares()
    private var lastRunId = 0L

    /** The number of runs that have not ended. */
    val runningCount: Int
        get() = running.size

    fun isScheduling(uploadId: String): Boolean = uploadId in queues

    /**
     * Takes over [job]. Returns the non-idempotent items that an earlier holder, or this one before it lost the slot,
     * started without a recorded result: nobody may send them again, and the caller records them as failed.
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

    /** Gives up a job that was cancelled, has ended or moved to another holder; returns its runs, to be cancelled. */
    fun remove(uploadId: String): List<BatchRun> {
        queues.remove(uploadId)
        val runs = running.values.filter { it.uploadId == uploadId }
        runs.forEach { running.remove(it.runId) }
        return runs
    }

    /** The next run for an upstream of which [hasRoom] holds, or null. */
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

    /** Ends [run]. Only a result of a run that was not given up counts. */
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

    /** Gives up [run] so that online requests get its room; the item waits again and the attempt does not count. */
    fun yieldRun(run: BatchRun) {
        if (running.remove(run.runId) == null) return
        queues[run.uploadId]?.requeue(run.item, run.attempt, countsAttempt = false)
    }

    /** Takes the state of a job that was carried forward, which replaces the earlier one. */
    fun replace(job: JobState) {
        queues[job.uploadId]?.job = job
    }

    /** Whether [run] has neither ended nor been given up. */
    fun isActive(run: BatchRun): Boolean = run.runId in running

    /** The runs that have not ended. */
    fun activeRuns(): List<BatchRun> = running.values.toList()

    /** Drops items that another holder has recorded as ended. */
    fun ended(uploadId: String, items: List<Int>) {
        val queue = queues[uploadId] ?: return
        items.forEach(queue::remove)
    }
}
