package org.poplarshift.core.dispatch.cost

import org.poplarshift.core.dispatch.RequestSize
import org.poplarshift.core.dispatch.RunObservation
import kotlin.math.abs
import kotlin.math.ln

/**
 * Estimates what requests cost and learns from observed runs. Times are monotonic milliseconds.
 *
 * The length of outputs is learned by route, the speed of workers by worker, see [WorkerWork]. A worker without runs
 * has the mean speed of the others. Without any runs all workers are alike, and the number of their requests decides.
 */
class CostModel {
    private val estimatorsByRoute = object : LinkedHashMap<String, OutputEstimator>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, OutputEstimator>) = size > MAXIMUM_ROUTES
    }
    private val meanLogSpeed = FadingMean(MAXIMUM_SPEED_DEVIATION)
    private val logError = FadingMean(MAXIMUM_ERROR)

    /** Number of the runs that were learned from. */
    var observedRuns = 0L
        private set

    /** Tokens of the prompts of all requests that were assigned, and those that the workers probably had cached. */
    var promptTokens = 0L
        private set
    var cachedPromptTokens = 0L
        private set

    /** Returns the cost of a request of [size] on [route]. */
    fun cost(route: String?, size: RequestSize?, nowMillis: Long): RequestCost {
        val estimator = estimatorsByRoute[route.orEmpty()] ?: UNKNOWN_ROUTE
        return RequestCost.of(size, estimator.estimate(size, nowMillis))
    }

    /** Returns the mean error of the expected run times: 0.1 means that they differ by a factor of about 1.1. */
    fun meanError(nowMillis: Long): Double = logError.value(0.0, nowMillis)

    /** Returns the speed of [worker], relative to the usual one. */
    fun speed(worker: WorkerWork, nowMillis: Long): Double = worker.speed(meanLogSpeed.value(0.0, nowMillis), nowMillis)

    /**
     * Returns what a request of [cost] would cost at [worker].
     *
     * @param uncounted estimated number of requests at the worker beside its known runs
     */
    fun estimate(cost: RequestCost, worker: WorkerWork, uncounted: Double, nowMillis: Long): WorkerEstimate {
        val speed = speed(worker, nowMillis)
        val cached = worker.cache.cachedTokens(cost)
        val readSteps = EngineTimes.readSteps(cost.promptTokens - cached)
        val steps = cost.outputSteps + readSteps
        val shared = worker.sharedSteps(steps, speed, nowMillis) + uncounted * steps * UNCOUNTED_SHARE
        val sharedMillis = shared * EngineTimes.STEP_MILLIS_PER_REQUEST / speed
        val ownMillis = steps * EngineTimes.STEP_MILLIS / speed
        val firstMillis = (readSteps + 1) / steps * (ownMillis + sharedMillis)
        return WorkerEstimate(
            runMillis = worker.slowness.slowedMillis(ownMillis + sharedMillis, nowMillis),
            delayMillis = sharedMillis,
            firstMillis = worker.slowness.slowedMillis(firstMillis, nowMillis),
            cachedTokens = cached,
            speed = speed,
        )
    }

    /** Records that a request of [size] on [route] is assigned to [worker], which it has used for [elapsedMillis] already. */
    internal fun start(
        route: String?,
        size: RequestSize?,
        worker: WorkerWork,
        nowMillis: Long,
        elapsedMillis: Long = 0,
    ): ActiveRun {
        val cost = cost(route, size, nowMillis)
        val estimate = estimate(cost, worker, uncounted = 0.0, nowMillis)
        val readSteps = EngineTimes.readSteps(cost.promptTokens - estimate.cachedTokens)
        val elapsedSteps = elapsedMillis.coerceAtLeast(0) / EngineTimes.STEP_MILLIS
        val run = ActiveRun(
            route,
            size,
            cost,
            estimate.cachedTokens,
            totalSteps = cost.outputSteps + readSteps,
            expectedMillis = if (elapsedMillis > 0) null else estimate.runMillis,
            startProgress = worker.progressAt(nowMillis) - elapsedSteps,
            startMillis = nowMillis - elapsedMillis,
        )
        promptTokens += cost.promptTokens
        cachedPromptTokens += estimate.cachedTokens
        worker.cache.onRead(cost)
        worker.add(run)
        return run
    }

    /** Records that [run] at [worker] has ended and learns from [observation], if there is one. */
    internal fun end(run: ActiveRun, worker: WorkerWork, observation: RunObservation?, nowMillis: Long) {
        val progressed = worker.progressAt(nowMillis) - run.startProgress
        worker.remove(run)
        if (observation == null || run.expectedMillis == null) return
        val heldMillis = nowMillis - run.startMillis
        // The slot is also held while a connection is made and while the messages travel.
        val share = observation.runMillis.toDouble() / maxOf(1, heldMillis)
        if (observation.runMillis <= 0 || share > MAXIMUM_SHARE || progressed <= 0.0) return
        learn(run, worker, observation, progressed * minOf(1.0, share), nowMillis)
    }

    private fun learn(
        run: ActiveRun,
        worker: WorkerWork,
        observation: RunObservation,
        progressed: Double,
        nowMillis: Long,
    ) {
        val readSteps = run.totalSteps - run.cost.outputSteps
        val priorLog = meanLogSpeed.value(0.0, nowMillis)
        val speed = worker.speed(priorLog, nowMillis)
        // A step of an engine produces a token. The events of other streams are unrelated to the work.
        val countedSteps = observation.outputTokens.takeIf { run.size != null && it >= MINIMUM_TOKENS }
        val outputSteps = countedSteps?.toDouble() ?: (speed * progressed - readSteps)
        if (countedSteps != null) {
            val sampleLog = ln((countedSteps + readSteps) / progressed)
            worker.learnSpeed(sampleLog, priorLog, nowMillis, sampleWeight = 1.0)
            meanLogSpeed.add(sampleLog, 0.0, nowMillis)
        } else if (observation.isComplete) {
            // Length and speed are known only up to a common factor here, so the speed is drawn to the usual one.
            val sampleLog = ln(run.totalSteps / progressed) * (1.0 - DRAW)
            worker.learnSpeed(sampleLog, priorLog, nowMillis, UNCOUNTED_SAMPLE_WEIGHT)
        }
        if (!observation.isComplete) return
        observedRuns++
        run.expectedMillis?.let { logError.add(abs(ln(observation.runMillis / maxOf(1.0, it))), 0.0, nowMillis) }
        if (outputSteps >= 1.0) {
            estimatorsByRoute.getOrPut(run.route.orEmpty()) {
                OutputEstimator()
            }.learn(run.size, outputSteps, nowMillis)
        }
    }

    private companion object {
        val UNKNOWN_ROUTE = OutputEstimator()

        // Bounds memory. Deployments have some dozen routes.
        const val MAXIMUM_ROUTES = 512
        const val MAXIMUM_SPEED_DEVIATION = 0.45
        const val MAXIMUM_ERROR = 3.0

        // Requests that are not known in detail are on average half done.
        const val UNCOUNTED_SHARE = 0.5

        // Shorter outputs say more about the delay of the network than about the worker.
        const val MINIMUM_TOKENS = 8

        // A run that is stated to be much longer than the slot was held is wrong.
        const val MAXIMUM_SHARE = 1.5
        const val DRAW = 0.02

        // The length of such a run varies more than the speed of workers, so that it takes many runs to learn the speed.
        const val UNCOUNTED_SAMPLE_WEIGHT = 0.15
    }
}
