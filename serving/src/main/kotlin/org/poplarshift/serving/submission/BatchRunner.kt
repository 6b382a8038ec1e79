package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.BatchConcurrency
import org.poplarshift.core.dispatch.BatchOrdering
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.PeerLoads
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.log.ConsumerGroup
import org.poplarshift.serving.log.JoinResult

/**
 * The load of the fleet as seen by the batch runner of this node.
 *
 * @property isLogReachable whether this node can read the log
 * @property waitingOnline number of online requests on this node that are queued for a worker of the given service
 */
class FleetLoad(
    val loadBalancer: LoadBalancer,
    val peers: PeerLoads,
    val isLogReachable: () -> Boolean,
    val waitingOnline: (String) -> Int,
)

/**
 * Runs the items of the partitions that are assigned to this node.
 *
 * The consumer group only distributes work and does not provide mutual exclusion. If two nodes consider themselves
 * assigned to the same partition, items run twice and the ledger keeps the first result.
 */
class BatchRunner(
    private val scope: CoroutineScope,
    private val store: SubmissionStore,
    private val group: ConsumerGroup,
    private val forwarding: ForwardingContext,
    private val load: FleetLoad,
    private val retentionMillis: Long,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    private class ActiveRun(val run: ItemRun, val partition: Int, val job: Job)

    private val clock: MonotonicClock = forwarding.clock
    private val activeRuns = HashMap<String, ActiveRun>()
    private val pausedRuns = HashMap<String, Pair<ItemRun, Int>>()
    private val startMillisByPartition = HashMap<Int, Long>()
    private var generation = 0L
    private var lastJoinMillis = Long.MIN_VALUE
    private var isLeaving = false

    /** Number of items that are currently running. */
    val runningItems: Int
        get() = activeRuns.size

    /** Partitions that are currently assigned to this node. */
    val partitions: Set<Int>
        get() = startMillisByPartition.keys

    /** Maintains the group membership and schedules items until cancelled or until [leave] is called. */
    suspend fun run() {
        scope.launch { maintainMembership() }
        while (!isLeaving) {
            schedule()
            delay(SCHEDULE_INTERVAL_MILLIS)
        }
    }

    /** Stops all runs, saves their progress in the log, and leaves the consumer group. */
    suspend fun leave() {
        isLeaving = true
        release(startMillisByPartition.keys.toSet())
        group.leave()
    }

    /** Removes ended and complete submissions whose retention period has passed from the log. */
    suspend fun removeExpired() {
        val now = wallClockMillis()
        for (partitionNumber in startMillisByPartition.keys.toSet()) {
            val partition = store.partitions[partitionNumber]
            val expired = partition.ledger.submissions
                .filter { it.isEnded || it.isComplete }
                .filter {
                    now - it.proposal.firstSentMillis >
                        maxOf(retentionMillis, it.proposal.abandonMillis) + CLOCK_SKEW_MILLIS
                }
                .map { it.proposal.submission }
            if (expired.isNotEmpty()) {
                val result = partition.remove(expired)
                logger.info { "batch: removed ${expired.size} submissions of partition $partitionNumber: $result" }
            }
        }
    }

    private suspend fun maintainMembership() {
        while (!isLeaving) {
            when (val result = group.join(generation)) {
                is JoinResult.Unavailable -> logger.debug { "batch: can't join the group: ${result.reason}" }
                is JoinResult.Joined -> {
                    lastJoinMillis = clock.millis()
                    onAssignment(result)
                }
            }
            delay(JOIN_INTERVAL_MILLIS)
        }
    }

    private suspend fun onAssignment(assignment: JoinResult.Joined) {
        val assigned = assignment.partitions.filter { it < store.partitions.size }.toSet()
        val lost = startMillisByPartition.keys - assigned
        val gained = assigned - startMillisByPartition.keys
        if (lost.isNotEmpty() || gained.isNotEmpty()) {
            logger.atInfo {
                message = "batch: partitions of this node have changed"
                payload = mapOf("generation" to assignment.generation, "gained" to "$gained", "lost" to "$lost")
            }
        }
        release(lost)
        // The previous assignee learns of the change only when it next joins the group.
        val isTakeover = generation != 0L
        val startMillis = clock.millis() + if (isTakeover) TAKEOVER_DELAY_MILLIS else 0
        gained.forEach { startMillisByPartition[it] = startMillis }
        generation = assignment.generation
    }

    private suspend fun release(partitions: Set<Int>) {
        if (partitions.isEmpty()) return
        startMillisByPartition.keys.removeAll(partitions)
        val ending = activeRuns.values.filter { it.partition in partitions }
        ending.forEach { it.job.cancelAndJoin() }
        val stopped = ending.map { it.run } + pausedRuns.values.filter { it.second in partitions }.map { it.first }
        pausedRuns.values.removeIf { it.second in partitions }
        stopped.map { scope.launch { it.saveProgress() } }.joinAll()
    }

    private fun schedule() {
        val now = clock.millis()
        cancelFinishedRuns()
        pausedRuns.values.removeIf { it.first.isFinished }
        if (now - lastJoinMillis > MEMBERSHIP_MILLIS && !isLogUnreachable()) return
        val waiting = startMillisByPartition.filterValues { it <= now }.keys
            .flatMap { openRuns(store.partitions[it]) }
            .groupBy { it.first.service }
        for (service in waiting.keys + activeRuns.values.map { it.run.service }) {
            adjustRuns(service, BatchOrdering.sort(waiting[service].orEmpty()) { it.first.untilDueMillis })
        }
    }

    // If no node can reach the log, no other node can take over the partitions, so this node continues to run them.
    private fun isLogUnreachable(): Boolean = !load.isLogReachable() && load.peers.nodesReachingLog.isEmpty()

    /** Starts or pauses runs of [service] so that the online requests of all nodes have enough worker slots. */
    private fun adjustRuns(service: String, waiting: List<Pair<ItemRun, Int>>) {
        val workers = load.loadBalancer.available(service)
        val ownRuns = activeRuns.values.filter { it.run.service == service }
        val preemptible = ownRuns.filter { !it.run.isUrgent }
        val runChange = BatchConcurrency.adjustment(
            slots = workers.sumOf { it.worker.slots },
            online = workers.sumOf {
                it.online + it.peersOnline
            } + load.waitingOnline(service) + load.peers.waitingRequests(service),
            batch = ownRuns.size + workers.sumOf { it.peersBatch },
            ownBatch = preemptible.size,
            reserve = workers.size * RESERVED_SLOTS,
        )
        if (runChange < 0) {
            BatchOrdering.sort(preemptible) { it.run.untilDueMillis }.takeLast(-runChange).forEach { pause(it) }
        }
        val urgent = waiting.filter { it.first.isUrgent }
        val others = waiting.filter { !it.first.isUrgent }.take(maxOf(0, runChange - urgent.size))
        for ((run, partition) in urgent + others) {
            if (activeRuns.size >= MAXIMUM_ACTIVE_RUNS) return
            start(run, partition)
        }
    }

    private fun openRuns(partition: SubmissionPartition): List<Pair<ItemRun, Int>> = partition.ledger.submissions
        .filter { !it.isEnded && !it.isComplete }
        .flatMap { state -> openRuns(partition, state) }

    private fun openRuns(partition: SubmissionPartition, state: SubmissionState): List<Pair<ItemRun, Int>> = state.items
        .filter { !it.hasResult }
        .map { ItemRun(partition, state, it, forwarding, wallClockMillis) }
        .filter { it.key !in activeRuns }
        .map { pausedRuns[it.key] ?: (it to partition.number) }

    private fun start(run: ItemRun, partition: Int) {
        pausedRuns.remove(run.key)
        val job = scope.launch {
            try {
                run.run()
            } finally {
                activeRuns.remove(run.key)
            }
        }
        if (job.isActive) activeRuns[run.key] = ActiveRun(run, partition, job)
    }

    private fun pause(activeRun: ActiveRun) {
        activeRun.job.cancel()
        activeRuns.remove(activeRun.run.key)
        pausedRuns[activeRun.run.key] = activeRun.run to activeRun.partition
    }

    private fun cancelFinishedRuns() {
        activeRuns.values.filter { it.run.isFinished }.forEach { it.job.cancel() }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A third of the time after which a member that does not rejoin loses its partitions.
        const val JOIN_INTERVAL_MILLIS = 650L
        const val TAKEOVER_DELAY_MILLIS = 800L

        // Membership expires after this time, and the partitions may then be assigned to other nodes.
        const val MEMBERSHIP_MILLIS = 2_000L
        const val SCHEDULE_INTERVAL_MILLIS = 50L

        // Slots per worker that are left free for online requests that arrive before the next scheduling round.
        const val RESERVED_SLOTS = 1

        // Bounds memory. Exceeds the number of worker slots that one node can use.
        const val MAXIMUM_ACTIVE_RUNS = 96

        // Allows for differences between the clocks of the nodes.
        const val CLOCK_SKEW_MILLIS = 30_000L
    }
}
