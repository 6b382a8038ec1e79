package org.poplarshift.core.dispatch

import org.poplarshift.core.dispatch.cost.ActiveRun
import org.poplarshift.core.dispatch.cost.CostModel
import org.poplarshift.core.dispatch.cost.RequestCost
import org.poplarshift.core.dispatch.cost.WorkerEstimate
import kotlin.math.roundToInt
import kotlin.math.roundToLong

/** The costs of the requests that one scheduler, or one node by itself, assigns to workers. Times are monotonic milliseconds. */
class RunCosts {
    private class Assigned(val run: ActiveRun, val state: WorkerState)

    private val runsByKey = HashMap<SlotKey, Assigned>()
    private var latestMillis = Long.MIN_VALUE

    /** What has been learned. */
    val model = CostModel()

    /** Returns the cost of [request]. */
    fun of(request: SlotRequest, nowMillis: Long): RequestCost {
        observe(nowMillis)
        return model.cost(request.route, request.size, nowMillis)
    }

    /** Returns the expected work of [request] in milliseconds, at a worker of the usual speed that runs nothing else. */
    fun workOf(request: SlotRequest): Double = model.cost(request.route, request.size, maxOf(0, latestMillis)).millis

    /** Returns what a request of [cost] would cost at the worker of [state]. */
    fun estimate(cost: RequestCost, state: WorkerState, nowMillis: Long): WorkerEstimate {
        val uncounted = (state.load(nowMillis) - state.work.runs).coerceAtLeast(0.0)
        return model.estimate(cost, state.work, uncounted, nowMillis)
    }

    /** Returns the expected time until all runs at the worker of [state] have ended if no other starts. */
    fun remainingMillis(state: WorkerState, nowMillis: Long): Double =
        state.work.remainingMillis(model.speed(state.work, nowMillis), nowMillis)

    /** Describes the worker of [state] for a request of [cost], which it gets or not for the reason in [verdict]. */
    fun describe(
        state: WorkerState,
        cost: RequestCost,
        verdict: RouteExplanation.Verdict,
        nowMillis: Long,
    ): RouteExplanation.Candidate {
        val estimate = estimate(cost, state, nowMillis)
        return RouteExplanation.Candidate(
            worker = state.worker.id,
            verdict = verdict,
            runMillis = estimate.runMillis.roundToLong(),
            delayMillis = estimate.delayMillis.roundToLong(),
            firstMillis = estimate.firstMillis.roundToLong(),
            cachedTokens = estimate.cachedTokens,
            speed = estimate.speed,
            requests = state.load(nowMillis).roundToInt(),
            slots = state.worker.slots,
            remainingMillis = remainingMillis(state, nowMillis).roundToLong(),
        )
    }

    /** Records that [request] is assigned to the worker of [state], [elapsedMillis] ago. */
    fun onStarted(request: SlotRequest, state: WorkerState, nowMillis: Long, elapsedMillis: Long = 0) {
        observe(nowMillis)
        onEnded(request.key)
        val run = model.start(request.route, request.size, state.work, nowMillis, elapsedMillis)
        runsByKey[request.key] = Assigned(run, state)
    }

    /** Learns from the [observation] of the run of [key], which has ended. */
    fun onObserved(key: SlotKey, observation: RunObservation, nowMillis: Long) {
        observe(nowMillis)
        end(key, observation)
    }

    /** Records that the run of [key] has ended or was given up, if there is one. */
    fun onEnded(key: SlotKey) = end(key, observation = null)

    private fun end(key: SlotKey, observation: RunObservation?) {
        val assigned = runsByKey.remove(key) ?: return
        model.end(assigned.run, assigned.state.work, observation, latestMillis)
    }

    private fun observe(nowMillis: Long) {
        latestMillis = maxOf(latestMillis, nowMillis)
    }
}
