package org.poplarshift.core.batch.sequence

import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.ownership.Slot
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import kotlin.random.Random

/** Simulates nodes, a log and callers in virtual time. Every random choice is derived from the seed. */
class BatchSimulation(seed: Long, val rules: SimulationRules = SimulationRules()) {
    private val random = Random(seed)
    val log = SimulatedLog<BatchRecord>(random)
    var nowMillis = 0L
        private set
    private var counter = 0
    private val nodes = MutableList(3) { SimulatedNode("node$it.${next()}", this) }
    private val reference = BatchIndex()
    private var holder: SimulatedNode? = nodes.first()
    private var term = 0
    private val invariants = BatchInvariants(rules)

    fun next(): Int = ++counter

    fun acknowledge(accepted: BatchRecord.JobAccepted, index: BatchIndex) {
        val job = index.find(JobKey(accepted.organisation, accepted.jobId)) ?: return
        if (job.digest == accepted.digest &&
            !BatchIndex.isExpired(job, nowMillis)
        ) {
            invariants.acknowledged(job.key, job.uploadId)
        }
    }

    fun dispatched(node: SimulatedNode, run: BatchRun) = invariants.dispatched(run, node.index.findUpload(run.uploadId))

    fun step() {
        nowMillis += random.nextLong(STEP_MILLIS)
        when (random.nextInt(16)) {
            0 -> submit()
            1 -> cancel()
            2 -> replaceNode()
            3 -> pauseOrResume()
            4 -> if (random.nextInt(4) == 0) takeOver()
            5 -> log.commitDelayed(nowMillis)
            else -> repeat(3) { activeNode()?.let(::work) }
        }
        check()
    }

    /** Runs without further faults until every accepted job should have ended. */
    fun settle() {
        log.isFaulty = false
        nodes.forEach { it.isPaused = false }
        if (holder == null) takeOver()
        repeat(SETTLE_STEPS) {
            nowMillis += 100
            nodes.forEach(::work)
            check()
        }
        invariants.checkAllEnded(reference, nowMillis)
    }

    private fun activeNode(): SimulatedNode? = nodes.filterNot { it.isPaused }.randomOrNull(random)

    private fun work(node: SimulatedNode) {
        node.read(maximumRecords = 1 + random.nextInt(20))
        node.follow(holder, term)
        if (rules.carryForward) node.carry()
        node.startRun()
        node.dispatchStarted()
        node.inFlight.randomOrNull(random)?.let { node.end(it, verdict()) }
        if (random.nextInt(3) == 0) node.flushResults()
        repeat(3) { node.flush() }
    }

    private fun verdict(): Verdict = when (random.nextInt(10)) {
        0 -> Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)
        1 -> Verdict.Answered(500)
        2 -> Verdict.Answered(422)
        else -> Verdict.Answered(200)
    }

    private fun submit() {
        val node = activeNode() ?: return
        if (random.nextInt(4) != 0) return
        val number = random.nextInt(6)
        val accepted = BatchRecord.JobAccepted(
            uploadId = "upload${next()}",
            organisation = "organisation${number % 2}",
            jobId = "job$number",
            digest = "digest${random.nextInt(8) / 7}",
            itemCount = 5 + number,
            slot = SLOT,
            upstream = "upstream",
            idempotent = number % 3 != 0,
            chunks = emptyList(),
            acceptedAtMillis = nowMillis,
            readableMillis = READABLE_MILLIS,
            through = -1,
        )
        node.upload(accepted, chunkSize = 3)
    }

    private fun cancel() {
        val node = activeNode() ?: return
        if (random.nextInt(12) != 0) return
        val job = node.index.allJobs.filter { it.phase == JobPhase.RUNNING }.randomOrNull(random) ?: return
        node.send(BatchRecord.JobCancelled(job.uploadId, nowMillis))
    }

    private fun replaceNode() {
        if (random.nextInt(8) != 0) return
        val position = random.nextInt(nodes.size)
        val lost = nodes[position]
        nodes[position] = SimulatedNode("node$position.${next()}", this)
        if (holder === lost) takeOver()
    }

    private fun pauseOrResume() {
        val node = nodes.random(random)
        node.isPaused = !node.isPaused
        if (node.isPaused) return
        // The process resumes exactly where it was paused, before it checks its lease again.
        node.dispatchStarted()
        node.flush()
        node.inFlight.randomOrNull(random)?.let { node.end(it, verdict()) }
        node.flushResults()
        node.flush()
    }

    private fun takeOver() {
        holder = nodes.filterNot { it.isPaused }.filterNot { it === holder }.randomOrNull(random) ?: holder
        term++
    }

    private fun check() {
        invariants.expire(reference, nowMillis)
        for (offset in reference.nextOffset until log.end) {
            invariants.observe(offset, log.read(offset), reference)
        }
        log.expire(nowMillis)
        val readers = nodes.map { it.index }.filter { it.nextOffset == log.end }
        readers.forEach { invariants.checkView(it, reference, nowMillis) }
        invariants.checkReadable(reference, log, nowMillis)
    }

    companion object {
        val SLOT = Slot("zone", 0)
        const val CARRY_AFTER_MILLIS = 2 * 3_600_000L
        const val READABLE_MILLIS = 8 * 3_600_000L
        private const val STEP_MILLIS = 40_000L
        private const val SETTLE_STEPS = 3_000

        /** Returns the state of a job that must be equal for all readers of the same records. */
        fun view(job: JobState) = listOf(job.uploadId, job.digest, job.phase, job.done, job.failed, job.openItems())
    }
}
