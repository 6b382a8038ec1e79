package org.poplarshift.core.dispatch

import kotlin.math.ceil
import kotlin.random.Random

/** A request of the simulation with its true [steps] and what its caller states. */
class SimulatedRequest(
    val number: Long,
    val arrivalMillis: Double,
    val steps: Int,
    val prefix: Int,
    val route: String,
    val hint: Int?,
    val isBatch: Boolean,
) {
    val size = RequestSize(
        promptTokens = PREFIX_TOKENS + OWN_TOKENS,
        maximumOutputTokens = 4_000,
        expectedOutputTokens = hint,
        parts = listOf(PromptPart("p$prefix", PREFIX_TOKENS), PromptPart("own$number", OWN_TOKENS)),
    )
    var startMillis = 0.0
    var endMillis = 0.0

    companion object {
        const val PREFIX_TOKENS = 350
        const val OWN_TOKENS = 50
    }
}

/** An engine with its true speed and its cache of prompt prefixes. Times are in milliseconds. */
class SimulatedWorker(val id: String, val speed: Double, val slots: Int) {
    class Run(val request: SimulatedRequest, var remaining: Double)

    val runs = ArrayList<Run>()
    val waiting = ArrayDeque<SimulatedRequest>()
    var slowUntil = 0.0
    private var now = 0.0
    private val cache = object : LinkedHashMap<Int, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Int, Unit>) = size > CACHED_PREFIXES
    }

    fun isCached(request: SimulatedRequest) = cache.containsKey(request.prefix)

    fun stepsOf(request: SimulatedRequest): Double {
        val read = SimulatedRequest.OWN_TOKENS + if (isCached(request)) 0 else SimulatedRequest.PREFIX_TOKENS
        return request.steps + read / (READ_TOKENS_PER_MILLI * STEP_MILLIS)
    }

    fun advance(until: Double) {
        val slow = (minOf(until, slowUntil) - now).coerceAtLeast(0.0)
        val done = ((until - now - slow) + slow / SLOW_FACTOR) * speed / stepMillis()
        runs.forEach { it.remaining -= done }
        now = until
    }

    fun start(request: SimulatedRequest) {
        if (runs.size >= slots) {
            waiting += request
            return
        }
        runs += Run(request, stepsOf(request))
        cache[request.prefix] = Unit
        request.startMillis = now
    }

    /** The time of the next end of a run. */
    fun nextEnd(): Double {
        val usual = (runs.minOfOrNull { it.remaining } ?: return Double.MAX_VALUE) * stepMillis() / speed
        val left = (slowUntil - now).coerceAtLeast(0.0)
        val slowed = if (usual * SLOW_FACTOR <= left) usual * SLOW_FACTOR else usual + left * (1 - 1 / SLOW_FACTOR)
        return now + maxOf(0.0, slowed)
    }

    fun stepMillis() = STEP_MILLIS + STEP_MILLIS_PER_REQUEST * maxOf(0, runs.size - 1)

    companion object {
        const val STEP_MILLIS = 2.9
        const val STEP_MILLIS_PER_REQUEST = 0.1
        const val READ_TOKENS_PER_MILLI = 80.0
        const val SLOW_FACTOR = 2.5
        const val CACHED_PREFIXES = 250
    }
}

/** Chooses workers in the simulation. */
interface SimulatedPolicy {
    /** Returns the index of a worker for [request], or null to let it wait until a run has ended. */
    fun choose(request: SimulatedRequest, workers: List<SimulatedWorker>, now: Double): Int?

    /** Called for a run at [worker] that has ended. */
    fun onEnded(request: SimulatedRequest, worker: SimulatedWorker, now: Double) = Unit

    /** Called when the head of a response of [worker] is received for [request]. */
    fun onHead(request: SimulatedRequest, worker: SimulatedWorker, now: Double) = Unit
}

/** Runs [requests] at [workers] in virtual time, with the choices of a policy. */
class RoutingSimulation(
    private val requests: List<SimulatedRequest>,
    private val workers: List<SimulatedWorker>,
    private val policy: SimulatedPolicy,
    private val slowSpells: List<Pair<Double, Int>>,
) {
    private val queue = ArrayDeque<SimulatedRequest>()
    private val heads = ArrayDeque<Triple<Double, SimulatedRequest, SimulatedWorker>>()
    private var now = 0.0
    private var arrived = 0
    private var spells = 0
    private var ended = 0

    /** Returns the latencies of the requests in milliseconds, in their order. */
    fun run(): List<Double> {
        while (ended < requests.size) {
            val ending = workers.minBy { it.nextEnd() }
            val arrivalMillis = requests.getOrNull(arrived)?.arrivalMillis ?: Double.MAX_VALUE
            val headMillis = heads.firstOrNull()?.first ?: Double.MAX_VALUE
            val spellMillis = slowSpells.getOrNull(spells)?.first ?: Double.MAX_VALUE
            now = minOf(minOf(arrivalMillis, ending.nextEnd()), headMillis, spellMillis)
            workers.forEach { it.advance(now) }
            when (now) {
                arrivalMillis -> queue += requests[arrived++]
                headMillis -> heads.removeFirst().let { (_, request, worker) -> policy.onHead(request, worker, now) }
                spellMillis -> workers[slowSpells[spells++].second].slowUntil = now + SPELL_MILLIS
                else -> end(ending)
            }
            assign()
        }
        return requests.map { it.endMillis - it.arrivalMillis }
    }

    private fun end(worker: SimulatedWorker) {
        val run = worker.runs.minBy { it.remaining }
        worker.runs.remove(run)
        run.request.endMillis = now
        ended++
        policy.onEnded(run.request, worker, now)
        worker.waiting.removeFirstOrNull()?.let { start(it, worker) }
    }

    private fun assign() {
        val iterator = queue.iterator()
        while (iterator.hasNext()) {
            val request = iterator.next()
            val worker = policy.choose(request, workers, now) ?: return
            iterator.remove()
            start(request, workers[worker])
        }
    }

    private fun start(request: SimulatedRequest, worker: SimulatedWorker) {
        val before = worker.runs.size
        worker.start(request)
        if (worker.runs.size > before) heads += Triple(now + HEAD_MILLIS, request, worker)
    }

    private companion object {
        const val HEAD_MILLIS = 15.0
        const val SPELL_MILLIS = 600.0
    }
}

/** Chooses among the workers with free slots by [score]; the least one wins. */
class ScorePolicy(private val score: (SimulatedRequest, SimulatedWorker, Double) -> Double) : SimulatedPolicy {
    override fun choose(request: SimulatedRequest, workers: List<SimulatedWorker>, now: Double): Int? =
        workers.indices.filter {
            workers[it].runs.size < workers[it].slots
        }.minByOrNull { score(request, workers[it], now) }
}

/** The choices of `LoadBalancer`, by one scheduler or by [nodes] nodes that know only their own requests and the heads of responses. */
class BalancerPolicy(
    routing: WorkerRouting,
    workers: List<SimulatedWorker>,
    private val nodes: Int,
    private val random: Random,
    private val lostObservations: Double = 0.0,
) : SimulatedPolicy {
    private val balancers = List(nodes) {
        LoadBalancer("z", routing = routing, isShared = nodes > 1) { random.nextDouble() }.apply {
            update(
                workers.map {
                    FleetWorker(it.id, "s", "10.0.0.1:1", "z", it.slots, isDraining = false, startedMillis = 1)
                },
            )
        }
    }
    private val indexes = workers.withIndex().associate { it.value.id to it.index }

    private fun balancer(request: SimulatedRequest) = balancers[(request.number % nodes).toInt()]

    override fun choose(request: SimulatedRequest, workers: List<SimulatedWorker>, now: Double): Int? {
        val key = SlotKey("n", request.number)
        val use = if (request.isBatch) SlotUse.BATCH else SlotUse.ONLINE
        val slot = SlotRequest(key, use, 0, now.toLong() + 500, route = request.route, size = request.size)
        val balancer = balancer(request)
        val state = balancer.choose("s", slot, now.toLong()) ?: return null
        balancer.costs.onStarted(slot, state, now.toLong())
        state.onSent(request.isBatch)
        return indexes.getValue(state.worker.id)
    }

    override fun onHead(request: SimulatedRequest, worker: SimulatedWorker, now: Double) {
        val state = checkNotNull(balancer(request).state(worker.id))
        state.work.onSlowness(if (worker.slowUntil > now) 250 else 100, now.toLong())
        if (nodes > 1) state.onLoadReport(worker.runs.size + worker.waiting.size, now.toLong())
    }

    override fun onEnded(request: SimulatedRequest, worker: SimulatedWorker, now: Double) {
        val key = SlotKey("n", request.number)
        val costs = balancer(request).costs
        val runMillis = ceil(now - request.startMillis).toLong()
        val run = RunObservation(10, runMillis, request.steps, isComplete = true)
        if (random.nextDouble() < lostObservations) costs.onEnded(key) else costs.onObserved(key, run, now.toLong())
        checkNotNull(balancer(request).state(worker.id)).onEnded(request.isBatch)
    }
}
