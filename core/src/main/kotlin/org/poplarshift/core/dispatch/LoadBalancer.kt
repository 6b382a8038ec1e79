package org.poplarshift.core.dispatch

import org.poplarshift.core.dispatch.RouteExplanation.Verdict
import org.poplarshift.core.dispatch.cost.RequestCost
import kotlin.math.roundToLong

/**
 * Tracks the load of a set of workers and selects the worker for each request.
 *
 * The requests that are counted here are known exactly. Others are estimated from the load that a worker reports in its
 * responses. The estimate decays, because a report says little about the load some seconds later.
 *
 * @param ownZone availability zone that is preferred among workers of about the same load
 * @param rateShare returns the share of the rate limits of workers that the user of this object may use, 0 to 1
 * @param coldLimit returns the requests per second that a cold worker of a service accepts from all nodes together, or
 *   null if they are not limited
 * @param routing how workers are chosen
 * @param isShared whether others choose among the same workers without asking this object
 * @param memoryTokens returns the tokens that a worker of a service holds at most, or null if that is not known
 * @param random returns values from 0 until 1, used to break ties
 */
class LoadBalancer(
    private val ownZone: String,
    private val rateShare: () -> Double = { 1.0 },
    private val coldLimit: (service: String) -> Double? = { null },
    private val routing: WorkerRouting = WorkerRouting.LOAD,
    private val isShared: Boolean = false,
    private val memoryTokens: (String) -> Long? = { null },
    private val random: () -> Double = Math::random,
) {
    /** The cost of the requests that are assigned here. */
    val costs = RunCosts()

    private val statesById = HashMap<String, WorkerState>()
    private val leaving = LinkedHashSet<WorkerIncarnation>()
    private var statesByService = mapOf<String, List<WorkerState>>()
    private var versionsByService = mapOf<String, Set<String>>()

    /** Zones whose workers get no new requests. */
    var evacuatedZones: Set<String> = emptySet()
        private set

    /**
     * Replaces the [evacuatedZones].
     *
     * Workers may have become cold while their zone was evacuated, and the registry says so only in their next entries.
     */
    fun evacuate(zones: Set<String>, nowMillis: Long) {
        val ended = evacuatedZones - zones
        evacuatedZones = zones
        for (state in statesById.values) {
            state.isEvacuated = state.worker.zone in zones
            if (state.worker.zone in ended) state.assumeCold(nowMillis + ASSUMED_COLD_MILLIS)
        }
    }

    /** All registered workers, including draining ones. */
    val workers: Collection<FleetWorker>
        get() = statesById.values.map { it.worker }

    /** The zones of all registered workers. */
    var zones: Set<String> = emptySet()
        private set

    /** Replaces the set of registered workers. The state of workers that remain is kept unless they have restarted. */
    fun update(workers: Collection<FleetWorker>) {
        val ids = workers.map { it.id }.toSet()
        statesById.values.filter { it.worker.id !in ids }.forEach { it.isReplaced = true }
        statesById.keys.retainAll(ids)
        for (worker in workers) {
            val existing = statesById[worker.id]
            if (existing == null || existing.worker.startedMillis != worker.startedMillis) {
                existing?.isReplaced = true
                statesById[worker.id] = newState(worker)
            } else {
                existing.worker = worker
            }
            statesById.getValue(worker.id).isEvacuated = worker.zone in evacuatedZones
        }
        leaving.removeIf { incarnation ->
            val registered = statesById[incarnation.worker]?.worker
            registered != null && registered.startedMillis > incarnation.startedMillis
        }
        statesByService = statesById.values.groupBy { it.worker.service }
        versionsByService = statesByService.mapValues { (_, states) ->
            states.mapTo(HashSet()) { it.worker.softwareVersion }
        }
        zones = statesById.values.map { it.worker.zone }.toSet()
    }

    /**
     * Records that [incarnation] leaves, whether it is registered yet or not. Returns whether this was not known before.
     *
     * The registry may be read later or earlier here than where the worker has stated this.
     */
    fun markLeaving(incarnation: WorkerIncarnation): Boolean {
        if (!leaving.add(incarnation)) return false
        if (leaving.size > MAXIMUM_LEAVING_WORKERS) leaving.remove(leaving.first())
        statesById[incarnation.worker]?.takeIf { it.worker.incarnation == incarnation }?.onLeaving()
        return true
    }

    /** All workers that have stated that they leave, registered or not, except those that are known to have restarted. */
    val leavingWorkers: Set<WorkerIncarnation>
        get() = leaving

    /** The registered workers of [service] that leave. */
    fun leaving(service: String): List<WorkerIncarnation> =
        statesByService[service].orEmpty().filter { it.isLeaving }.map { it.worker.incarnation }

    /** Returns the state of the registered worker [id], or null. */
    fun state(id: String): WorkerState? = statesById[id]

    /** The states of all registered workers, including draining and suspect ones. */
    val workerStates: Collection<WorkerState>
        get() = statesById.values

    /** Workers of [service] that accept new requests. */
    fun available(service: String): List<WorkerState> = statesByService[service].orEmpty().filter { it.isAvailable }

    /**
     * Returns the least loaded worker of [service] that has free slots and accepts a request now, or null.
     *
     * A worker with a rate limit has more slots than it can use. Long runs, those of batch items, make the most of each
     * request that it accepts, so they prefer such workers and online requests avoid them until the others are half
     * full.
     *
     * @param headroom slots that must stay free; a negative value allows requests to queue at the worker
     * @param excluded ids of workers to which the request has already been sent
     */
    fun choose(
        service: String,
        headroom: Int,
        excluded: Set<String>,
        nowMillis: Long,
        use: SlotUse = SlotUse.ONLINE,
    ): WorkerState? = available(service)
        .filter { it.worker.id !in excluded && it.freeSlots(nowMillis) > headroom && it.isWithinRate(nowMillis) }
        .minByOrNull { score(it, nowMillis) + rateLimitPenalty(it, use, nowMillis) }

    /** Returns the worker of [service] for [request] that has free slots and accepts a request now, or null. */
    fun choose(service: String, request: SlotRequest, nowMillis: Long): WorkerState? {
        if (routing == WorkerRouting.LOAD) {
            return choose(service, headroom = 0, request.excludedWorkers, nowMillis, request.use)
        }
        val candidates = available(service).filter {
            it.worker.id !in request.excludedWorkers && it.freeSlots(nowMillis) > 0 && it.isWithinRate(nowMillis)
        }
        if (candidates.isEmpty()) return null
        val cost = costs.of(request, nowMillis)
        val fitting = candidates.filter { hasMemory(it, cost) }
        return sample(fitting).minByOrNull { totalMillis(it, cost, request.use, nowMillis) }
    }

    /** Explains which worker of [service] would be chosen for [request] now by the scheduler that runs at [node]. */
    fun explain(node: String, service: String, request: SlotRequest, nowMillis: Long): RouteExplanation {
        val cost = costs.of(request, nowMillis)
        val chosen = choose(service, request, nowMillis)
        val candidates = statesByService[service].orEmpty().map { state ->
            val verdict = if (state === chosen) Verdict.CHOSEN else verdict(state, cost, nowMillis)
            costs.describe(state, cost, verdict, nowMillis)
        }
        return RouteExplanation(node, service, node, chosen?.worker?.id, cost.millis.roundToLong(), candidates)
    }

    /** Whether [service] has an available worker outside [excluded], with or without free slots. */
    fun hasWorker(service: String, excluded: Set<String>, excludedZones: Set<String> = emptySet()): Boolean =
        available(service).any { it.worker.id !in excluded && it.worker.zone !in excludedZones }

    /** Returns the ids of the registered workers of [service] in [zones]. */
    fun idsIn(zones: Set<String>, service: String): Set<String> = when {
        zones.isEmpty() -> emptySet()
        else -> statesByService[service].orEmpty().map { it.worker }.filter { it.zone in zones }.map { it.id }.toSet()
    }

    /** The software versions of the registered workers of [service]. */
    fun softwareVersions(service: String): Set<String> = versionsByService[service].orEmpty()

    /** Returns the ids of the registered workers of [service] whose software version is one of [versions]. */
    fun idsOf(versions: Set<String>, service: String): Set<String> = when {
        versions.isEmpty() -> emptySet()
        else -> statesByService[service].orEmpty().map { it.worker }
            .filter { it.softwareVersion in versions }
            .map { it.id }
            .toSet()
    }

    /** Whether at least half of the workers of the same service remain available without [state]. */
    fun mayEject(state: WorkerState): Boolean {
        val all = statesByService[state.worker.service].orEmpty()
            .filter { !it.worker.isDraining && !it.isLeaving && !it.isEvacuated }
        val remaining = all.count { !it.isSuspect && it !== state }
        return remaining > 0 && remaining * 2 >= all.size
    }

    private fun verdict(state: WorkerState, cost: RequestCost, nowMillis: Long): Verdict = when {
        !state.isAvailable -> Verdict.UNAVAILABLE
        state.freeSlots(nowMillis) <= 0 -> Verdict.NO_FREE_SLOT
        !state.isWithinRate(nowMillis) -> Verdict.RATE_LIMIT
        routing == WorkerRouting.COST && !hasMemory(state, cost) -> Verdict.MEMORY
        else -> Verdict.COSTS_MORE
    }

    private fun hasMemory(state: WorkerState, cost: RequestCost): Boolean {
        val capacity = memoryTokens(state.worker.service) ?: return true
        // A request that is larger than the memory may still run alone, because its output is usually shorter than stated.
        return state.work.runs == 0 || state.work.heldTokens + cost.heldTokens <= capacity
    }

    // Others that see the same workers would all choose the same one until their requests appear in its reports.
    private fun sample(states: List<WorkerState>): List<WorkerState> {
        val size = maxOf(MINIMUM_SAMPLE, states.size / SAMPLE_DIVISOR)
        if (!isShared || states.size <= size) return states
        val sampled = states.toMutableList()
        for (index in 0 until size) {
            val other = index + (random() * (sampled.size - index)).toInt()
            sampled[index] = sampled[other].also { sampled[other] = sampled[index] }
        }
        return sampled.subList(0, size)
    }

    private fun totalMillis(state: WorkerState, cost: RequestCost, use: SlotUse, nowMillis: Long): Double {
        val zonePenalty = if (state.worker.zone == ownZone) 0.0 else CROSS_ZONE_MILLIS
        val slotMillis = cost.outputSteps * state.worker.slots * SLOT_STEP_MILLIS
        val total = costs.estimate(cost, state, nowMillis).totalMillis
        return total + zonePenalty + random() * TIE_BREAK_MILLIS + rateLimitPenalty(state, use, nowMillis) * slotMillis
    }

    private fun newState(worker: FleetWorker): WorkerState {
        val state = WorkerState(worker, rateShare, { coldLimit(worker.service) }, random)
        if (worker.incarnation in leaving) state.onLeaving()
        return state
    }

    private fun score(state: WorkerState, nowMillis: Long): Double {
        val zonePenalty = if (state.worker.zone == ownZone) 0.0 else CROSS_ZONE_PENALTY
        return (state.load(nowMillis) + zonePenalty + random() * TIE_BREAK_RANGE) / maxOf(1, state.worker.slots)
    }

    private fun rateLimitPenalty(state: WorkerState, use: SlotUse, nowMillis: Long): Double = when {
        !state.isPaced(nowMillis) -> 0.0
        use == SlotUse.ONLINE -> RATE_LIMIT_PENALTY
        else -> -1.0
    }

    private companion object {
        // Bounds memory. Far more than the workers that leave before the registry says so.
        const val MAXIMUM_LEAVING_WORKERS = 256

        // Longer than a worker needs to renew its entry and a node to read it.
        const val ASSUMED_COLD_MILLIS = 3_000L

        // In shares of a worker's slots.
        const val RATE_LIMIT_PENALTY = 0.5

        // Number of requests by which a worker in another zone must be less loaded to be preferred. One more running
        // request slows down a step of the engine by less than the network delay between zones.
        const val CROSS_ZONE_PENALTY = 0.6

        // Delay of the network between zones, there and back.
        const val CROSS_ZONE_MILLIS = 12.0

        // Time by which a run delays another one and itself, for each step that they share.
        const val SLOT_STEP_MILLIS = 0.2

        // Less than what one more request or a cached part of a prompt makes of a difference.
        const val TIE_BREAK_MILLIS = 1.0

        // A choice among a sixth of the workers, and at least two, still finds a fast one in most cases. With a quarter or
        // a half, ten nodes crowd the fast workers more (docs/design/request-cost.md).
        const val MINIMUM_SAMPLE = 2
        const val SAMPLE_DIVISOR = 6

        // Random tie-breaking keeps the nodes from all selecting the same worker.
        const val TIE_BREAK_RANGE = 0.9
    }
}
