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
 * Online requests come first, by priority, then urgent batch items; other batch items use what these leave free. Within
 * the same use and priority, organisations share the slots by their weights ([StartTimeFairQueue]).
 *
 * @param weight returns the weight of an organisation, or of requests without one
 * @param work returns the expected work of a request in milliseconds of a slot
 */
class SlotQueue(
    private val service: String,
    private val workers: LoadBalancer,
    weight: (String?) -> Double = { 1.0 },
    private val work: (SlotRequest) -> Double = { 1.0 },
) {
    // A worker that restarts under its id gets a new state, which does not count the requests of the old one.
    private class HeldLease(val lease: SlotLease, val state: WorkerState?, val work: Double)

    private val waitingList = SlotWaitingList(weight)
    private val leasesByKey = LinkedHashMap<SlotKey, HeldLease>()
    private val batchLeases = LinkedHashSet<SlotLease>()
    private val turnover = SlotTurnover()
    private val refusalPolicy = RefusalPolicy()
    private var refusals = 0L
    private var sequence = 0L

    /** All slots in use. */
    val leases: List<SlotLease>
        get() = leasesByKey.values.map { it.lease }

    /** Requests that wait for a slot, in order of arrival. */
    val waiting: List<SlotRequest>
        get() = waitingList.waiters.map { it.request }

    /** Returns a slot for [request], or queues it if none is free. */
    fun submit(request: SlotRequest, nowMillis: Long): SlotDecision {
        if (!workers.hasWorker(service, request.excludedWorkers)) return SlotDecision.NoWorker
        val expectedWork = work(request).takeIf { it > 0 && it.isFinite() } ?: 1.0
        val waiter = SlotWaiter(request, sequence++, expectedWork, nowMillis)
        waitingList.add(waiter)
        if (waitingList.ordered(nowMillis).first() !== waiter) return SlotDecision.Queued
        return grant(waiter, nowMillis) ?: SlotDecision.Queued
    }

    /** Records a slot that was granted elsewhere, for example by the previous scheduler of the zone. */
    fun adopt(lease: SlotLease) {
        if (lease.key in leasesByKey) return
        hold(lease, workers.state(lease.worker), work = 1.0)
    }

    /**
     * Releases the slot of the request [key], or removes the request from the queue. Returns its lease, if any.
     *
     * @param completedMillis time at which a run that used the slot was completed, or null if none was
     */
    fun release(key: SlotKey, completedMillis: Long? = null): SlotLease? {
        workers.costs.onEnded(key)
        val held = leasesByKey.remove(key)
        if (held == null) {
            waitingList.find(key)?.let { waitingList.remove(it) }
            return null
        }
        val lease = held.lease
        batchLeases.remove(lease)
        held.state?.onEnded(lease.use != SlotUse.ONLINE)
        if (completedMillis != null && lease.grantedMillis != null && lease.use == SlotUse.ONLINE) {
            turnover.onEnded(held.work, completedMillis - lease.grantedMillis, completedMillis)
        }
        return lease
    }

    /** Removes the waiting request [key] because its node no longer waits. Returns whether it was in the queue. */
    fun abandon(key: SlotKey, nowMillis: Long): Boolean {
        val waiter = waitingList.find(key) ?: return false
        val waitUntilMillis = waiter.request.waitUntilMillis ?: Long.MAX_VALUE
        if (nowMillis >= waitUntilMillis - NODE_DELAY_MILLIS) {
            waitingList.expire(waiter, nowMillis)
        } else {
            waitingList.remove(waiter)
        }
        return true
    }

    /** Grants free slots to waiting requests. */
    fun dispatch(nowMillis: Long): List<SlotEvent> {
        val events = removeUnserviceable()
        val blocked = HashSet<SlotWaiter>()
        while (waitingList.waiters.isNotEmpty() && hasFreeSlot(nowMillis)) {
            events += grantNext(blocked, nowMillis) ?: break
        }
        return events
    }

    /** Whether some worker accepts a request now. */
    fun hasFreeSlot(nowMillis: Long): Boolean =
        workers.available(service).any { it.freeSlots(nowMillis) > 0 && it.isWithinRate(nowMillis) }

    /**
     * Removes the online request [key] from the queue if it can't get a slot in the time for which it waits. Returns the
     * time in milliseconds after which its caller may retry, or null if the request goes on waiting.
     */
    fun refuse(key: SlotKey, nowMillis: Long): Long? {
        val waiter = waitingList.find(key)?.takeIf { it.request.use == SlotUse.ONLINE } ?: return null
        val allowedMillis = (waiter.request.waitUntilMillis ?: return null) - nowMillis
        if (hasFreeSlot(nowMillis)) return null
        val expectedMillis = expectedWait(waiter, refusalPolicy.limitMillis(allowedMillis), nowMillis)
        if (expectedMillis <= refusalPolicy.limitMillis(allowedMillis)) return null
        waitingList.remove(waiter)
        refusals++
        return refusalPolicy.retryMillis(expectedMillis, allowedMillis)
    }

    /**
     * Selects batch items that must give up their slots because online requests wait, and marks them.
     *
     * One item is selected for each waiting request: first those that can run again and still be on time, then the
     * others. Among these, the items that have run for the shortest time lose the least work. A node that does not give
     * up the slot within [PREEMPTION_TIMEOUT_MILLIS] no longer counts as doing so.
     */
    fun selectPreemptions(nowMillis: Long): List<SlotKey> {
        val waitingOnline = waitingList.count(SlotUse.ONLINE)
        if (waitingOnline == 0 || batchLeases.isEmpty()) return emptyList()
        val preempted = batchLeases.count { it.isBeingPreempted(nowMillis) }
        return batchLeases
            .filter { isPreemptible(it, nowMillis) }
            .sortedWith(preemptionOrder(nowMillis))
            .take(maxOf(0, waitingOnline - preempted))
            .onEach { it.preemptedMillis = nowMillis }
            .map { it.key }
    }

    /** Removes and returns the first waiting requests of [use] that may be redirected to [zone], at most [maximum]. */
    fun takeRedirectable(use: SlotUse, maximum: Int, nowMillis: Long, zone: String? = null): List<SlotRequest> =
        waitingList
            .ordered(nowMillis, use)
            .filter { it.request.mayRedirect && zone !in it.request.excludedZones }
            .take(maximum)
            .toList()
            .onEach { waitingList.remove(it) }
            .map { it.request }

    /** Figures about the waiting requests. */
    fun statistics(nowMillis: Long) = SlotQueueStatistics(
        flows = waitingList.activeFlows,
        longestWaitMillis = waitingList.waiters.firstOrNull()?.let { nowMillis - it.queuedMillis } ?: 0,
        refusals = refusals,
    )

    /** Returns the capacity that is left. */
    fun capacity(nowMillis: Long): ServiceCapacity {
        val available = workers.available(service)
        val free = freeSlots(available, nowMillis)
        return ServiceCapacity(
            workers = available.size,
            free = free,
            spare = free - reserve(available),
            preemptible = batchLeases.count { isPreemptible(it, nowMillis) },
            waiting = waitingList.count(SlotUse.ONLINE),
        )
    }

    private fun removeUnserviceable(): MutableList<SlotEvent> {
        val available = workers.available(service).size
        return waitingList.waiters
            // Fewer excluded workers than there are can't be all of them.
            .filter { it.request.excludedWorkers.size >= available }
            .filter { !workers.hasWorker(service, it.request.excludedWorkers) }
            .onEach { waitingList.remove(it) }
            .mapTo(ArrayList()) { SlotEvent(it.request.key, SlotDecision.NoWorker) }
    }

    /** Grants a slot to the first request that can use one. Those that can't, because of excluded workers, are [blocked]. */
    private fun grantNext(blocked: MutableSet<SlotWaiter>, nowMillis: Long): SlotEvent? {
        for (waiter in waitingList.ordered(nowMillis).filter { it !in blocked }) {
            val request = waiter.request
            if (request.use == SlotUse.BATCH && spareSlots(nowMillis) <= 0) return null
            grant(waiter, nowMillis)?.let { return SlotEvent(request.key, it) }
            // What an unconstrained request can't use is of no use to any other.
            if (request.excludedWorkers.isEmpty()) return null
            blocked += waiter
        }
        return null
    }

    private fun grant(waiter: SlotWaiter, nowMillis: Long): SlotDecision.Granted? {
        val request = waiter.request
        if (request.use == SlotUse.BATCH && spareSlots(nowMillis) <= 0) return null
        val state = workers.choose(service, request, nowMillis) ?: return null
        workers.costs.onStarted(request, state, nowMillis)
        waitingList.serve(waiter, nowMillis)
        val lease = SlotLease(request.key, request.use, state.worker.id, request.onTimeUntilMillis, nowMillis)
        hold(lease, state, waiter.work)
        state.onPaced(nowMillis)
        return SlotDecision.Granted(state.worker.id, state.requestsPerSecond)
    }

    private fun hold(lease: SlotLease, state: WorkerState?, work: Double) {
        leasesByKey[lease.key] = HeldLease(lease, state, work)
        if (lease.use == SlotUse.BATCH) batchLeases += lease
        state?.onSent(lease.use != SlotUse.ONLINE)
    }

    /** Returns the expected time in milliseconds until [waiter] gets a slot, or 0 without experience. */
    private fun expectedWait(waiter: SlotWaiter, limitMillis: Double, nowMillis: Long): Double {
        val workPerMilli = workPerMilli(nowMillis) ?: return 0.0
        val untilLateMillis = maxOf(0L, waiter.lateFromMillis - nowMillis).toDouble()
        val punctualMillis =
            waitingList.workBefore(waiter, untilLateMillis, isLate = false, nowMillis) / workPerMilli
        if (untilLateMillis > 0 && punctualMillis <= untilLateMillis) return punctualMillis
        val isClearlyLate = punctualMillis > untilLateMillis * RefusalPolicy.CLEAR_EXCESS
        if (isClearlyLate && waitingList.starvesLate(waiter, nowMillis)) return limitMillis + untilLateMillis + 1
        // The estimate assumes a wait of limitMillis. If it exceeds this time, so does the wait.
        return waitingList.workBefore(waiter, limitMillis, isLate = true, nowMillis) / workPerMilli
    }

    /** Work that all slots do in a millisecond. Slots of batch items count, because online requests receive them first. */
    private fun workPerMilli(nowMillis: Long): Double? {
        val meanHeldMillis = turnover.meanHeldMillis(nowMillis) ?: return null
        val slots = workers.available(service).sumOf { state ->
            val paced = state.requestsPerSecond?.let { it * meanHeldMillis / MILLIS_PER_SECOND }
            minOf(state.worker.slots.toDouble(), paced ?: Double.MAX_VALUE)
        }
        return turnover.workPerMilli(nowMillis)?.let { it * slots }?.takeIf { it > 0 }
    }

    private fun spareSlots(nowMillis: Long): Int {
        val available = workers.available(service)
        return freeSlots(available, nowMillis) - reserve(available)
    }

    private fun freeSlots(available: List<WorkerState>, nowMillis: Long): Int =
        available.sumOf { it.startableRequests(nowMillis) }

    // The slot of an item at a worker that accepts no request now is of no use to the requests that wait.
    private fun isPreemptible(lease: SlotLease, nowMillis: Long): Boolean = lease.preemptedMillis == null &&
        workers.state(lease.worker)?.isWithinRate(nowMillis) != false

    // Slots of workers with a rate limit can't be kept ready, because each request has to wait for its turn anyway.
    private fun reserve(available: List<WorkerState>): Int =
        (available.filter { it.requestsPerSecond == null }.sumOf { it.worker.slots } * RESERVED_SHARE).toInt()

    private fun preemptionOrder(nowMillis: Long): Comparator<SlotLease> = compareBy(
        { BatchOrdering.isTooLate(it.onTimeUntilMillis - nowMillis) },
        // A slot that another scheduler granted has probably been in use for longest.
        { lease -> lease.grantedMillis?.let { nowMillis - it } ?: Long.MAX_VALUE },
        { -it.onTimeUntilMillis },
    )

    private fun SlotLease.isBeingPreempted(nowMillis: Long): Boolean =
        preemptedMillis?.let { nowMillis - it <= PREEMPTION_TIMEOUT_MILLIS } == true

    private companion object {
        // Slots that batch items leave free, so that most online requests start without a preemption.
        const val RESERVED_SHARE = 1.0 / 16
        const val MILLIS_PER_SECOND = 1_000.0

        // Nodes and scheduler measure the wait from different times and in whole milliseconds.
        const val NODE_DELAY_MILLIS = 50L

        // Many times the usual delay between a preemption and the release of the slot.
        const val PREEMPTION_TIMEOUT_MILLIS = 100L
    }
}
