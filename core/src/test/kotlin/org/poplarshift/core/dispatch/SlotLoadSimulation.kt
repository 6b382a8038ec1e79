package org.poplarshift.core.dispatch

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Simulates the requests for the slots of one service in one availability zone, in virtual time.
 *
 * @property useOrganisations whether requests state their organisation; without it all share one flow, which is the
 *   order by lateness and arrival
 * @property usesDeadlines whether requests state how long they wait
 */
class SlotLoadSimulation(
    private val seed: Int,
    private val demands: List<Demand>,
    private val useOrganisations: Boolean = true,
    private val usesDeadlines: Boolean = true,
    private val outageMillis: LongRange? = null,
    private val waitMillis: Long = WAIT_MILLIS,
) {
    /** Requests of one organisation; [perSecond] depends on the time, [weight] is its rate limit. */
    class Demand(
        val organisation: String,
        val weight: Double,
        val use: SlotUse = SlotUse.ONLINE,
        val runMillis: Long = RUN_MILLIS,
        val dueMillis: Long = ON_TIME_MILLIS,
        val perSecond: (Long) -> Double,
    )

    /** A request and what became of it. */
    class Request(val number: Long, val demand: Demand, val arrivedMillis: Long, val runMillis: Long) {
        var startedMillis: Long? = null
        var endedMillis: Long? = null
        var refusedMillis: Long? = null
        var retryMillis: Long = 0
        var runs = 0

        val waitedMillis get() = startedMillis?.let { it - arrivedMillis }

        /** Whether an online request has started in time, or a batch item has ended in time. */
        val isOnTime: Boolean
            get() {
                val decisiveMillis = if (demand.use == SlotUse.ONLINE) startedMillis else endedMillis
                return decisiveMillis != null && decisiveMillis <= arrivedMillis + demand.dueMillis
            }
    }

    private class Event(val atMillis: Long, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val entries = List(WORKERS) {
        FleetWorker("w$it", "s", "10.0.0.$it:80", "here", SLOTS, isDraining = false, startedMillis = 1)
    }
    private val balancer = LoadBalancer("here", random = Random(seed)::nextDouble).apply { update(entries) }
    private val weights = demands.associate { it.organisation to it.weight }
    private val scheduler =
        SlotScheduler("s", balancer, ZoneCapacities(), weight = { weights[it] ?: 1.0 })
    private val requests = ArrayList<Request>()
    private var order = 0L
    private var now = 0L

    /** Returns the requests that arrived until [endMillis]. */
    fun run(endMillis: Long): List<Request> {
        scheduler.onConnected(NodeMessage.Hello("n", emptyList()), 0, connection)
        demands.forEachIndexed { index, demand -> arrive(demand, Random(seed * 1_000 + index), endMillis) }
        schedule(0) { update(endMillis) }
        outageMillis?.let { outage ->
            schedule(outage.first) { balancer.update(entries.filterIndexed { index, _ -> index % 3 != 0 }) }
            schedule(outage.last) { balancer.update(entries) }
        }
        while (events.isNotEmpty()) {
            val event = events.remove()
            now = event.atMillis
            event.action()
        }
        return requests
    }

    private val connection = object : SlotScheduler.NodeConnection {
        override fun send(message: SchedulerMessage) = schedule(now) { onReply(message) }

        override fun close() = error("the connection was closed")
    }

    private fun schedule(millis: Long, action: () -> Unit) {
        events += Event(millis, order++, action)
    }

    private fun update(endMillis: Long) {
        scheduler.onMessage("n", NodeMessage.Alive, now)
        scheduler.update(now)
        if (now < endMillis + DRAIN_MILLIS) schedule(now + UPDATE_MILLIS) { update(endMillis) }
    }

    private fun arrive(demand: Demand, random: Random, endMillis: Long) {
        val gapMillis = -ln(1 - random.nextDouble()) / maxOf(demand.perSecond(now), MINIMUM_RATE) * 1_000
        // Gaps are memoryless, so a long one can be drawn again after the rate may have changed.
        val next = now + minOf(gapMillis, MAXIMUM_GAP_MILLIS).toLong().coerceAtLeast(1)
        if (next > endMillis) return
        schedule(next) {
            val runMillis = demand.runMillis / 2 + random.nextLong(demand.runMillis)
            if (gapMillis <= MAXIMUM_GAP_MILLIS) {
                requests += Request(requests.size.toLong(), demand, now, runMillis)
                ask(requests.last())
            }
            arrive(demand, random, endMillis)
        }
    }

    private fun ask(request: Request) {
        val demand = request.demand
        val isOnline = demand.use == SlotUse.ONLINE
        val untilDue = request.arrivedMillis + demand.dueMillis - now
        val isUrgent = !isOnline && untilDue in 0..URGENT_MILLIS
        val acquire = NodeMessage.Acquire(
            request.number,
            if (isUrgent) SlotUse.URGENT_BATCH else demand.use,
            priority = 0,
            onTimeInMillis = untilDue,
            organisation = demand.organisation.takeIf { useOrganisations },
            waitInMillis = waitMillis.takeIf { usesDeadlines && isOnline },
        )
        scheduler.onMessage("n", acquire, now)
        val runs = request.runs
        val ownWaitMillis = if (isOnline) waitMillis else BATCH_WAIT_MILLIS
        schedule(now + ownWaitMillis) {
            if (request.startedMillis == null && request.refusedMillis == null && request.runs == runs) {
                scheduler.onMessage("n", NodeMessage.Release(request.number, SlotOutcome.UNUSED), now)
                if (!isOnline && now < request.arrivedMillis + 2 * demand.dueMillis) ask(request)
            }
        }
    }

    private fun onReply(message: SchedulerMessage) {
        when (message) {
            is SchedulerMessage.Granted -> start(requests[message.number.toInt()], message.worker)
            is SchedulerMessage.Preempted -> stop(requests[message.number.toInt()], SlotOutcome.USED)
            is SchedulerMessage.Refused -> requests[message.number.toInt()].let {
                it.refusedMillis = now
                it.retryMillis = message.retryMillis
            }

            else -> Unit
        }
    }

    private fun start(request: Request, worker: String) {
        request.startedMillis = now
        val run = ++request.runs
        val isLost = balancer.state(worker) == null
        if (isLost) return stop(request, SlotOutcome.UNREACHABLE)
        schedule(now + request.runMillis) {
            if (request.runs != run || request.startedMillis == null) return@schedule
            if (balancer.state(worker) == null) return@schedule stop(request, SlotOutcome.UNREACHABLE)
            request.endedMillis = now
            scheduler.onMessage("n", NodeMessage.Release(request.number), now)
        }
    }

    // The request asks again from the beginning.
    private fun stop(request: Request, outcome: SlotOutcome) {
        if (request.startedMillis == null || request.endedMillis != null) return
        request.startedMillis = null
        scheduler.onMessage("n", NodeMessage.Release(request.number, outcome), now)
        ask(request)
    }

    companion object {
        const val WORKERS = 9
        const val SLOTS = 6
        const val RUN_MILLIS = 300L
        const val ON_TIME_MILLIS = 400L

        /** Requests of the usual run time that the workers complete in a second. */
        const val CAPACITY = WORKERS * SLOTS * 1_000.0 / RUN_MILLIS

        /** Time for which a caller waits for a response. */
        const val WAIT_MILLIS = 6_000L

        // As nodes ask for the slots of their items.
        private const val BATCH_WAIT_MILLIS = 1_000L
        private const val URGENT_MILLIS = 6_500L
        private const val UPDATE_MILLIS = 50L
        private const val DRAIN_MILLIS = 20_000L
        private const val MINIMUM_RATE = 0.1

        private const val MAXIMUM_GAP_MILLIS = 200.0
    }
}
