package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.submission.ItemShares
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.Backoff
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.TaskResult
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.log.ConsumerGroup
import org.poplarshift.serving.log.JoinResult

/**
 * Runs the items of the shares that are assigned to this node.
 *
 * The consumer group divides the items of all submissions into [ItemShares.COUNT] shares, so that every node runs some
 * items of each submission. It only distributes work and does not provide mutual exclusion. If two nodes consider
 * themselves assigned to the same share, items run twice and the ledger keeps the first result.
 *
 * @param mayRun whether this node may run items; its shares go back to the group otherwise
 */
class BatchRunner(
    private val tasks: BackgroundTasks,
    private val store: SubmissionStore,
    private val group: ConsumerGroup,
    private val forwarding: ForwardingContext,
    private val configuration: () -> IngressConfiguration?,
    var retentionMillis: Long,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
    private val isLogReachable: () -> Boolean,
    private val mayRun: () -> Boolean = { true },
) {
    private class Entry(val run: ItemRun, val share: Int) {
        var job: Job? = null

        /** The service that the current or latest run counts for. That of the item may change meanwhile. */
        var runService: String? = null
        private val backoff = Backoff(INITIAL_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS)
        private var retryMillis = Long.MIN_VALUE

        /** Monotonic time in milliseconds from which the item may run. */
        val startMillis: Long
            get() = maxOf(retryMillis, run.retryMillis)

        /** Delays the next run, because the current one has failed with an exception. */
        fun onFailed(nowMillis: Long) {
            retryMillis = nowMillis + backoff.next()
        }

        /** Ends the delays of further runs. */
        fun onReturned() = backoff.reset()

        val isActive: Boolean
            get() = job?.isActive == true
    }

    private val clock: MonotonicClock = forwarding.clock
    private val entries = LinkedHashMap<String, Entry>()
    private val runShares = RunShares(MAXIMUM_ACTIVE_RUNS, MAXIMUM_WAITING_RUNS)
    private val startMillisByShare = HashMap<Int, Long>()
    private var seenRevision = -1L
    private var isAssignmentChanged = false
    private var generation = 0L
    private var lastJoinMillis = Long.MIN_VALUE / 2
    private var isLeaving = false
    private var isMember = false

    /** Number of items that are currently running or waiting for a slot. */
    val runningItems: Int
        get() = entries.values.count { it.isActive }

    /** Shares that are currently assigned to this node. */
    val shares: Set<Int>
        get() = startMillisByShare.keys

    /** Schedules items until cancelled or until [leave] is called. */
    suspend fun run() {
        while (!isLeaving) {
            schedule()
            delay(SCHEDULE_INTERVAL_MILLIS)
        }
    }

    /** Stops all runs, saves their progress in the log, and leaves the consumer group. */
    suspend fun leave() {
        isLeaving = true
        release(startMillisByShare.keys.toSet())
        group.leave()
    }

    /** Removes ended and complete submissions whose retention period has passed from the log. */
    suspend fun removeExpired() {
        val now = wallClockMillis()
        for (partition in store.partitions.filter { it.number in startMillisByShare }) {
            val expired = partition.ledger.submissions
                .filter { it.isEnded || it.isComplete }
                .filter {
                    partition.certainAgeMillis(it.proposal, now) >
                        maxOf(retentionMillis, it.proposal.abandonMillis) + CLOCK_SKEW_MILLIS
                }
                .map { it.proposal.submission }
            if (expired.isNotEmpty()) {
                val result = partition.remove(expired)
                logger.info {
                    "batch: removal of ${expired.size} submissions of partition ${partition.number}: $result"
                }
            }
        }
    }

    /** Maintains the group membership, or none while [mayRun] denies it, until cancelled or until [leave] is called. */
    suspend fun maintainMembership() {
        while (!isLeaving) {
            if (mayRun()) join() else suspendMembership()
            delay(JOIN_INTERVAL_MILLIS)
        }
    }

    private suspend fun join() {
        isMember = true
        when (val result = group.join(generation)) {
            is JoinResult.Unavailable -> logger.debug { "batch: can't join the group: ${result.reason}" }
            is JoinResult.Joined -> {
                lastJoinMillis = clock.millis()
                onAssignment(result)
            }
        }
    }

    private suspend fun suspendMembership() {
        if (!isMember) return
        logger.warn { "batch: this node gives its shares back, because one of its tasks fails again and again" }
        release(startMillisByShare.keys.toSet())
        group.leave()
        isMember = false
    }

    private suspend fun onAssignment(assignment: JoinResult.Joined) {
        val lost = startMillisByShare.keys - assignment.partitions
        val gained = assignment.partitions - startMillisByShare.keys
        if (lost.isNotEmpty() || gained.isNotEmpty()) {
            isAssignmentChanged = true
            logger.atInfo {
                message = "batch: shares of this node have changed"
                payload = mapOf("generation" to assignment.generation, "gained" to "$gained", "lost" to "$lost")
            }
        }
        release(lost)
        // The previous assignee learns of the change only when it next joins the group.
        val isTakeover = generation != 0L
        val startMillis = clock.millis() + if (isTakeover) TAKEOVER_DELAY_MILLIS else 0
        gained.forEach { startMillisByShare[it] = startMillis }
        generation = assignment.generation
    }

    private suspend fun release(shares: Set<Int>) {
        if (shares.isEmpty()) return
        startMillisByShare.keys.removeAll(shares)
        val released = entries.values.filter { it.share in shares }
        entries.values.removeAll(released.toSet())
        released.forEach { it.job?.cancelAndJoin() }
        val results = released.map { tasks.launchOnce("progress of an item") { it.run.saveProgress() } }.awaitAll()
        val failures = results.count { it is TaskResult.Failed }
        if (failures == 0) return
        logger.warn { "batch: the progress of $failures items is not saved; they run again from before" }
    }

    private fun schedule() {
        updateEntries()
        // If no node can reach the log, no other node can take over the shares, so this node continues to run them.
        if (clock.millis() - lastJoinMillis > MEMBERSHIP_MILLIS && isLogReachable()) return
        startRuns()
    }

    private fun updateEntries() {
        val finished = entries.values.filter { it.run.isFinished }
        finished.forEach { it.job?.cancel() }
        entries.values.removeAll(finished.toSet())
        val revision = store.revision
        if (revision == seenRevision && !isAssignmentChanged) return
        seenRevision = revision
        isAssignmentChanged = false
        val added = store.partitions.flatMap { addEntries(it) }
        // The items can then begin while the log is away.
        if (added.isNotEmpty()) tasks.launchOnce("bodies of items") { added.forEach { it.readAhead() } }
    }

    private fun addEntries(partition: SubmissionPartition): List<ItemRun> {
        val added = ArrayList<ItemRun>()
        for (state in partition.ledger.submissions.filter { !it.isEnded && !it.isComplete }) {
            for (item in state.items) {
                if (item.hasResult || item.share !in startMillisByShare) continue
                val key = ItemRun.key(state, item)
                if (key !in entries) {
                    val run = ItemRun(partition, state, item, forwarding, configuration, wallClockMillis)
                    entries[key] = Entry(run, item.share)
                    added += run
                }
            }
        }
        return added
    }

    private fun startRuns() {
        val now = clock.millis()
        val idle = entries.values.filter {
            !it.isActive && now >= maxOf(it.startMillis, startMillisByShare[it.share] ?: Long.MAX_VALUE)
        }
        if (idle.isEmpty()) return
        val waiting = entries.values.filter { it.isActive && it.run.isWaiting }.groupingBy { it.runService }.eachCount()
        val started = runShares.start(
            queued = idle.map { QueuedItem(it, it.run.account, it.run.untilDueMillis, it.run.isTimeUp) },
            waitingRuns = { waiting[it] ?: 0 },
            hasWorker = { forwarding.dispatcher.hasWorker(it) },
        )
        started.forEach { start(it.item, it.account) }
    }

    private fun start(entry: Entry, account: RunAccount) {
        entry.runService = account.service
        val job = tasks.launchOnce("item run", onFailed = { entry.onFailed(clock.millis()) }) {
            entry.run.run(onPreempt = { entry.job?.cancel() })
            entry.onReturned()
        }
        entry.job = job
        job.invokeOnCompletion { runShares.onEnded(account) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A third of the time after which a member that does not rejoin loses its shares.
        const val JOIN_INTERVAL_MILLIS = 650L
        const val TAKEOVER_DELAY_MILLIS = 800L

        // Membership expires after this time, and the shares may then be assigned to other nodes.
        const val MEMBERSHIP_MILLIS = 2_000L
        const val SCHEDULE_INTERVAL_MILLIS = 100L

        // Requests for slots that a node has waiting at the schedulers for each service. The scheduler orders the
        // requests of all nodes by due time, so a few of each node suffice.
        const val MAXIMUM_WAITING_RUNS = 4

        // Of all services together. Bounds memory. Exceeds the number of worker slots that one node can use.
        const val MAXIMUM_ACTIVE_RUNS = 96

        // A run that fails with an exception probably fails again, and each run takes a slot of a worker.
        const val INITIAL_RETRY_MILLIS = 250L

        // A small part of the time within which items are due, about 18 s.
        const val MAXIMUM_RETRY_MILLIS = 4_000L

        // Allows for differences between the clocks of the nodes.
        const val CLOCK_SKEW_MILLIS = 30_000L
    }
}
