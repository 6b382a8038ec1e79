package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.poplarshift.core.submission.ItemState
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.Forwarding
import org.poplarshift.serving.log.JoinResult
import org.poplarshift.serving.log.WorkGroup

/**
 * Runs the items of the partitions that belong to this node.
 *
 * The group only spreads the work. When two nodes believe that a partition is theirs, items run twice and the log keeps
 * the first result.
 */
class BatchRunner(
    private val scope: CoroutineScope,
    private val store: SubmissionStore,
    private val group: WorkGroup,
    private val forwarding: Forwarding,
    private val clock: MonotonicClock,
    private val retentionMillis: Long,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    private class Running(val run: ItemRun, val partition: Int, val job: Job)

    private val running = HashMap<String, Running>()
    private val startsAtMillis = HashMap<Int, Long>()
    private var generation = 0L
    private var joinedMillis = Long.MIN_VALUE
    private var isLeaving = false

    /** Items that run now. */
    val runningItems: Int
        get() = running.size

    /** Partitions that belong to this node. */
    val partitions: Set<Int>
        get() = startsAtMillis.keys

    /** Keeps the membership and starts items, until it is cancelled. */
    suspend fun run() {
        scope.launch { keepMembership() }
        while (!isLeaving) {
            schedule()
            delay(SCHEDULE_MILLIS)
        }
    }

    /** Stops all runs, keeps what they have, and gives the partitions up. */
    suspend fun leave() {
        isLeaving = true
        release(startsAtMillis.keys.toSet())
        group.leave()
    }

    private suspend fun keepMembership() {
        while (!isLeaving) {
            when (val result = group.join(generation)) {
                is JoinResult.Unavailable -> logger.debug { "batch: the group can't be reached: ${result.reason}" }
                is JoinResult.Member -> {
                    joinedMillis = clock.millis()
                    onMember(result)
                }
            }
            delay(JOIN_MILLIS)
        }
    }

    private suspend fun onMember(member: JoinResult.Member) {
        val used = member.partitions.filter { it < store.partitions.size }.toSet()
        val lost = startsAtMillis.keys - used
        val gained = used - startsAtMillis.keys
        if (lost.isNotEmpty() || gained.isNotEmpty()) {
            logger.atInfo {
                message = "batch: partitions of this node have changed"
                payload = mapOf("generation" to member.generation, "gained" to "$gained", "lost" to "$lost")
            }
        }
        release(lost)
        // The holder before may not know of the change until it joins again.
        val isTakeover = generation != 0L
        val startMillis = clock.millis() + if (isTakeover) TAKEOVER_MILLIS else 0
        gained.forEach { startsAtMillis[it] = startMillis }
        generation = member.generation
    }

    private suspend fun release(partitions: Set<Int>) {
        if (partitions.isEmpty()) return
        startsAtMillis.keys.removeAll(partitions)
        val ending = running.values.filter { it.partition in partitions }
        ending.forEach { it.job.cancelAndJoin() }
        ending.map { scope.launch { it.run.keep() } }.joinAll()
    }

    private fun schedule() {
        val now = clock.millis()
        stopEnded()
        if (now - joinedMillis > MEMBERSHIP_MILLIS) return
        val open = startsAtMillis.filterValues { it <= now }.keys
            .map { store.partitions[it] }
            .flatMap { partition -> openItems(partition) }
            .sortedBy { it.state.proposal.firstSentMillis + it.state.proposal.dueMillis }
        for (item in open) {
            if (running.size >= MAXIMUM_RUNNING) return
            start(item)
        }
    }

    private class OpenItem(
        val partition: SubmissionPartition,
        val state: SubmissionState,
        val item: ItemState,
    )

    private fun openItems(partition: SubmissionPartition): List<OpenItem> = partition.ledger.all
        .filter { !it.isEnded && !it.isComplete }
        .flatMap { state ->
            state.items
                .filter { !it.isListed && key(state.proposal.submission, it.proposed.id) !in running }
                .map { OpenItem(partition, state, it) }
        }

    private fun start(open: OpenItem) {
        val key = key(open.state.proposal.submission, open.item.proposed.id)
        val run = ItemRun(open.partition, open.state, open.item, forwarding, wallClockMillis)
        val job = scope.launch {
            try {
                run.run()
            } finally {
                running.remove(key)
            }
        }
        if (job.isActive) running[key] = Running(run, open.partition.number, job)
    }

    private fun stopEnded() {
        running.values
            .filter { it.run.isOver }
            .forEach { it.job.cancel() }
    }

    /** Removes submissions that need not be kept any longer. */
    suspend fun clean() {
        val now = wallClockMillis()
        for (number in startsAtMillis.keys.toSet()) {
            val partition = store.partitions[number]
            val old = partition.ledger.all
                .filter { it.isEnded || it.isComplete }
                .filter { now - it.proposal.firstSentMillis > maxOf(retentionMillis, it.proposal.abandonMillis) + MARGIN_MILLIS }
                .map { it.proposal.submission }
            if (old.isNotEmpty()) {
                val result = partition.remove(old)
                logger.info { "batch: removed ${old.size} old submissions of partition $number: $result" }
            }
        }
    }

    private fun key(submission: String, item: String) = "$submission/$item"

    private companion object {
        val logger = KotlinLogging.logger {}

        // A third of the time after which a silent member loses its partitions.
        const val JOIN_MILLIS = 1_000L
        const val TAKEOVER_MILLIS = 1_200L

        // The group's time to live: afterwards the partitions may belong to others.
        const val MEMBERSHIP_MILLIS = 3_000L
        const val SCHEDULE_MILLIS = 50L

        // Bounds memory; more runs than a fleet of workers has slots for one node.
        const val MAXIMUM_RUNNING = 96

        // Clocks of nodes may differ.
        const val MARGIN_MILLIS = 30_000L
    }
}
