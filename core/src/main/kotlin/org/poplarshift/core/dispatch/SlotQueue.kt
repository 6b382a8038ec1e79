package org.poplarshift.core.dispatch

/** The outcome of a request for a slot. */
sealed interface SlotDecision {
    /** The request has a slot at [worker], whose rate limit is [requestsPerSecond] as far as is known. */
    data class Granted(val worker: String, val requestsPerSecond: Double? = null) : SlotDecision

    /** The request waits for a slot. */
    data object Queued : SlotDecision

    /** No worker could serve the request, even after waiting. */
    data object NoWorker : SlotDecision
}

/** A decision for a request that has waited. */
data class SlotEvent(val key: SlotKey, val decision: SlotDecision)

/**
 * Grants the slots at the workers of one service and queues the requests that find none free.
 *
 * Online requests come first, by priority. Those that can still meet their target latency precede those that can't:
 * under overload, the order of arrival alone would delay every request by the length of the whole queue, so that all of
 * them would be late. Batch items use what online requests leave free and are ordered by [BatchOrdering].
 */
class SlotQueue(private val service: String, private val workers: LoadBalancer) {
    private class Waiter(val request: SlotRequest, val sequence: Long)

    // A worker that restarts under its id gets a new state, which does not count the requests of the old one.
    private class HeldLease(val lease: SlotLease, val state: WorkerState?)

    private val waiters = ArrayList<Waiter>()
    private val leasesByKey = LinkedHashMap<SlotKey, HeldLease>()
    private var sequence = 0L

    /** All slots in use. */
    val leases: List<SlotLease>
        get() = leasesByKey.values.map { it.lease }

    /** Requests that wait for a slot, in order of arrival. */
    val waiting: List<SlotRequest>
        get() = waiters.map { it.request }

    /** Returns a slot for [request], or queues it if none is free. */
    fun submit(request: SlotRequest, nowMillis: Long): SlotDecision {
        if (!workers.hasWorker(service, request.excludedWorkers)) return SlotDecision.NoWorker
        val waiter = Waiter(request, sequence++)
        val order = order(nowMillis)
        if (waiters.none { order.compare(it, waiter) < 0 }) grant(request, nowMillis)?.let { return it }
        waiters += waiter
        return SlotDecision.Queued
    }

    /** Records a slot that was granted elsewhere, for example by the previous scheduler of the zone. */
    fun adopt(lease: SlotLease) {
        if (lease.key in leasesByKey) return
        hold(lease, workers.state(lease.worker))
    }

    /** Releases the slot of the request [key], or removes the request from the queue. Returns its lease, if any. */
    fun release(key: SlotKey): SlotLease? {
        workers.costs.onEnded(key)
        val held = leasesByKey.remove(key)
        if (held == null) {
            waiters.removeIf { it.request.key == key }
            return null
        }
        held.state?.onEnded(held.lease.use != SlotUse.ONLINE)
        return held.lease
    }

    /** Grants free slots to waiting requests. */
    fun dispatch(nowMillis: Long): List<SlotEvent> {
        if (waiters.isEmpty()) return emptyList()
        val events = ArrayList<SlotEvent>()
        for (waiter in waiters.sortedWith(order(nowMillis))) {
            val request = waiter.request
            val decision = when {
                !workers.hasWorker(service, request.excludedWorkers) -> SlotDecision.NoWorker
                else -> grant(request, nowMillis) ?: continue
            }
            waiters.remove(waiter)
            events += SlotEvent(request.key, decision)
        }
        return events
    }

    /**
     * Selects batch items that must give up their slots because online requests wait, and marks them.
     *
     * The items with the most time left are selected, one for each waiting request. A node that does not give up the
     * slot within [PREEMPTION_TIMEOUT_MILLIS] no longer counts as doing so.
     */
    fun selectPreemptions(nowMillis: Long): List<SlotKey> {
        val waitingOnline = waiters.count { it.request.use == SlotUse.ONLINE }
        if (waitingOnline == 0) return emptyList()
        val preempted = leases.count { it.isBeingPreempted(nowMillis) }
        return leases
            .filter { isPreemptible(it, nowMillis) }
            .sortedByDescending { it.onTimeUntilMillis }
            .take(maxOf(0, waitingOnline - preempted))
            .onEach { it.preemptedMillis = nowMillis }
            .map { it.key }
    }

    /** Removes and returns the first waiting requests of [use] that may be redirected, at most [maximum]. */
    fun takeRedirectable(use: SlotUse, maximum: Int, nowMillis: Long): List<SlotRequest> {
        val taken = waiters
            .filter { it.request.use == use && it.request.mayRedirect }
            .sortedWith(order(nowMillis))
            .take(maximum)
        waiters.removeAll(taken.toSet())
        return taken.map { it.request }
    }

    /** Returns the capacity that is left. */
    fun capacity(nowMillis: Long): ServiceCapacity {
        val available = workers.available(service)
        val free = available.sumOf { it.startableRequests(nowMillis) }
        return ServiceCapacity(
            workers = available.size,
            free = free,
            spare = free - reserve(available),
            preemptible = leases.count { isPreemptible(it, nowMillis) },
            waiting = waiters.count { it.request.use == SlotUse.ONLINE },
        )
    }

    private fun grant(request: SlotRequest, nowMillis: Long): SlotDecision.Granted? {
        if (request.use == SlotUse.BATCH && capacity(nowMillis).spare <= 0) return null
        val state = workers.choose(service, request, nowMillis) ?: return null
        workers.costs.onStarted(request, state, nowMillis)
        hold(SlotLease(request.key, request.use, state.worker.id, request.onTimeUntilMillis), state)
        state.onPaced(nowMillis)
        return SlotDecision.Granted(state.worker.id, state.requestsPerSecond)
    }

    /** Returns the expected work of [request] in milliseconds. */
    fun workOf(request: SlotRequest): Double = workers.costs.workOf(request)

    private fun hold(lease: SlotLease, state: WorkerState?) {
        leasesByKey[lease.key] = HeldLease(lease, state)
        state?.onSent(lease.use != SlotUse.ONLINE)
    }

    // The slot of an item at a worker that accepts no request now is of no use to the requests that wait.
    private fun isPreemptible(lease: SlotLease, nowMillis: Long): Boolean = lease.use == SlotUse.BATCH &&
        lease.preemptedMillis == null &&
        workers.state(lease.worker)?.isWithinRate(nowMillis) != false

    // Slots of workers with a rate limit can't be kept ready, because each request has to wait for its turn anyway.
    private fun reserve(available: List<WorkerState>): Int =
        (available.filter { it.requestsPerSecond == null }.sumOf { it.worker.slots } * RESERVED_SHARE).toInt()

    private fun order(nowMillis: Long): Comparator<Waiter> = compareBy(
        { it.request.use },
        { it.request.priority },
        { isLate(it.request, nowMillis) },
        { if (it.request.use == SlotUse.ONLINE) it.sequence else it.request.onTimeUntilMillis },
    )

    private fun isLate(request: SlotRequest, nowMillis: Long): Boolean = when (request.use) {
        SlotUse.ONLINE -> request.onTimeUntilMillis <= nowMillis
        SlotUse.URGENT_BATCH, SlotUse.BATCH -> BatchOrdering.isTooLate(request.onTimeUntilMillis - nowMillis)
    }

    private fun SlotLease.isBeingPreempted(nowMillis: Long): Boolean =
        preemptedMillis?.let { nowMillis - it <= PREEMPTION_TIMEOUT_MILLIS } == true

    private companion object {
        // Slots that batch items leave free, so that most online requests start without a preemption.
        const val RESERVED_SHARE = 1.0 / 16

        // Many times the usual delay between a preemption and the release of the slot.
        const val PREEMPTION_TIMEOUT_MILLIS = 100L
    }
}
