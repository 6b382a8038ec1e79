package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.BatchOrder
import org.poplarshift.core.dispatch.BatchShare
import org.poplarshift.core.dispatch.PeerLoads
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.log.JoinResult
import org.poplarshift.serving.log.WorkGroup

/**
 * What the batch runner knows of the fleet.
 *
 * @property reachesLog whether this node can read the log
 * @property ownWaiting online requests of this node that wait for a worker of a service
 */
class FleetLoad(
    val board: WorkerBoard,
    val peers: PeerLoads,
    val reachesLog: () -> Boolean,
    val ownWaiting: (String) -> Int,
)

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
    private val forwarding: ForwardingContext,
    private val load: FleetLoad,
    private val retentionMillis: Long,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    private class Running(val run: ItemRun, val partition: Int, val job: Job)

    private val clock: MonotonicClock = forwarding.clock
    private val running = HashMap<String, Running>()
    private val paused = HashMap<String, Pair<ItemRun, Int>>()
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

    /** Removes submissions that need not be kept any longer. */
    suspend fun clean() {
        val now = wallClockMillis()
        for (number in startsAtMillis.keys.toSet()) {
            val partition = store.partitions[number]
            val old = partition.ledger.all
                .filter { it.isEnded || it.isComplete }
                .filter {
                    now - it.proposal.firstSentMillis >
                        maxOf(retentionMillis, it.proposal.abandonMillis) + MARGIN_MILLIS
                }
                .map { it.proposal.submission }
            if (old.isNotEmpty()) {
                val result = partition.remove(old)
                logger.info { "batch: removed ${old.size} old submissions of partition $number: $result" }
            }
        }
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
        val stopped = ending.map { it.run } + paused.values.filter { it.second in partitions }.map { it.first }
        paused.values.removeIf { it.second in partitions }
        stopped.map { scope.launch { it.keep() } }.joinAll()
    }

    private fun schedule() {
        val now = clock.millis()
        stopEnded()
        paused.values.removeIf { it.first.isOver }
        if (now - joinedMillis > MEMBERSHIP_MILLIS && !isLogGone()) return
        val waiting = startsAtMillis.filterValues { it <= now }.keys
            .flatMap { openRuns(store.partitions[it]) }
            .groupBy { it.first.service }
        for (service in waiting.keys + running.values.map { it.run.service }) {
            balance(service, BatchOrder.sort(waiting[service].orEmpty()) { it.first.untilDueMillis })
        }
    }

    // While no node reaches the log, nobody can take the partitions over.
    private fun isLogGone(): Boolean = !load.reachesLog() && load.peers.reachingLog.isEmpty()

    /** Starts or stops runs of [service] so that online requests of all nodes have the slots that they need. */
    private fun balance(service: String, waiting: List<Pair<ItemRun, Int>>) {
        val seats = load.board.available(service)
        val ownRuns = running.values.filter { it.run.service == service }
        val yielding = ownRuns.filter { !it.run.isUrgent }
        val change = BatchShare.change(
            slots = seats.sumOf { it.worker.slots },
            online = seats.sumOf {
                it.online + it.peersOnline
            } + load.ownWaiting(service) + load.peers.waiting(service),
            batch = ownRuns.size + seats.sumOf { it.peersBatch },
            ownBatch = yielding.size,
            reserve = seats.size * RESERVED_SLOTS,
        )
        if (change < 0) {
            BatchOrder.sort(yielding) { it.run.untilDueMillis }.takeLast(-change).forEach { pause(it) }
        }
        val urgent = waiting.filter { it.first.isUrgent }
        val others = waiting.filter { !it.first.isUrgent }.take(maxOf(0, change - urgent.size))
        for ((run, partition) in urgent + others) {
            if (running.size >= MAXIMUM_RUNNING) return
            start(run, partition)
        }
    }

    private fun openRuns(partition: SubmissionPartition): List<Pair<ItemRun, Int>> = partition.ledger.all
        .filter { !it.isEnded && !it.isComplete }
        .flatMap { state -> openRuns(partition, state) }

    private fun openRuns(partition: SubmissionPartition, state: SubmissionState): List<Pair<ItemRun, Int>> = state.items
        .filter { !it.isListed }
        .map { ItemRun(partition, state, it, forwarding, wallClockMillis) }
        .filter { it.key !in running }
        .map { paused[it.key] ?: (it to partition.number) }

    private fun start(run: ItemRun, partition: Int) {
        paused.remove(run.key)
        val job = scope.launch {
            try {
                run.run()
            } finally {
                running.remove(run.key)
            }
        }
        if (job.isActive) running[run.key] = Running(run, partition, job)
    }

    private fun pause(stopped: Running) {
        stopped.job.cancel()
        running.remove(stopped.run.key)
        paused[stopped.run.key] = stopped.run to stopped.partition
    }

    private fun stopEnded() {
        running.values.filter { it.run.isOver }.forEach { it.job.cancel() }
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A third of the time after which a silent member loses its partitions.
        const val JOIN_MILLIS = 650L
        const val TAKEOVER_MILLIS = 800L

        // The group's time to live: afterwards the partitions may belong to others.
        const val MEMBERSHIP_MILLIS = 2_000L
        const val SCHEDULE_MILLIS = 50L

        // Slots of each worker that are left free for the online requests that come before the next decision.
        const val RESERVED_SLOTS = 1

        // Bounds memory; more runs than a fleet of workers has slots for one node.
        const val MAXIMUM_RUNNING = 96

        // Clocks of nodes may differ.
        const val MARGIN_MILLIS = 30_000L
    }
}
