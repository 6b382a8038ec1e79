package org.poplarshift.core.dispatch.cost

import kotlin.math.exp

/**
 * The work that one worker has been assigned and how fast it does it. Times are monotonic milliseconds.
 *
 * The progress of a worker is the number of steps that each of its requests has been given since the start if the worker
 * had the usual speed. A step takes longer the more requests there are, so the progress is advanced whenever their
 * number changes.
 */
class WorkerWork {
    private val activeRuns = ArrayList<ActiveRun>()
    private val logSpeed = FadingMean(MAXIMUM_SPEED_DEVIATION)
    private var progress = 0.0
    private var progressMillis = Long.MIN_VALUE
    internal val cache = PromptPartCache()

    /** How long work takes at present, as the worker states it. */
    val slowness = Slowness()

    /** Number of the runs. */
    val runs: Int
        get() = activeRuns.size

    /** Tokens that the runs hold in the worker's memory at most. */
    var heldTokens = 0L
        private set

    /** Returns the speed relative to the usual one, which is [priorLog] as a logarithm without recent runs. */
    internal fun speed(priorLog: Double, nowMillis: Long): Double = exp(logSpeed.value(priorLog, nowMillis))

    /** Adds [run]. */
    internal fun add(run: ActiveRun) {
        activeRuns += run
        heldTokens += run.cost.heldTokens
    }

    /** Removes [run]. */
    internal fun remove(run: ActiveRun) {
        if (activeRuns.remove(run)) heldTokens -= run.cost.heldTokens
    }

    /** Returns the progress at [nowMillis]. */
    internal fun progressAt(nowMillis: Long): Double {
        if (progressMillis == Long.MIN_VALUE) progressMillis = nowMillis
        if (nowMillis <= progressMillis) return progress
        val slowMillis = (minOf(nowMillis, slowness.untilMillis) - progressMillis).coerceAtLeast(0).toDouble()
        val usualMillis = nowMillis - progressMillis - slowMillis
        progress += (usualMillis + slowMillis / slowness.factor) / stepMillis(activeRuns.size)
        progressMillis = nowMillis
        return progress
    }

    /** Records that the worker states that work takes [percent] of the usual time. Returns whether this is a material change. */
    fun onSlowness(percent: Int, nowMillis: Long): Boolean {
        progressAt(nowMillis)
        return slowness.onStated(percent, nowMillis)
    }

    /** Learns that the logarithm of the speed was [sampleLog] in a run, and [priorLog] before any run. */
    internal fun learnSpeed(sampleLog: Double, priorLog: Double, nowMillis: Long, sampleWeight: Double) =
        logSpeed.add(sampleLog.coerceIn(-MAXIMUM_LOG_SPEED, MAXIMUM_LOG_SPEED), priorLog, nowMillis, sampleWeight)

    /** Returns the steps that [run] still needs. */
    internal fun remainingSteps(run: ActiveRun, speed: Double, nowMillis: Long): Double {
        val done = (progressAt(nowMillis) - run.startProgress) * speed
        // A run that has lasted longer than expected will probably go on in proportion to its length so far.
        return maxOf(run.totalSteps - done, done * OVERRUN_SHARE)
    }

    /** Returns the sum over all runs of the steps that each of them shares with a run of [steps] that starts now. */
    internal fun sharedSteps(steps: Double, speed: Double, nowMillis: Long): Double {
        var shared = 0.0
        for (index in activeRuns.indices) shared += minOf(steps, remainingSteps(activeRuns[index], speed, nowMillis))
        return shared
    }

    /** Returns the expected time in milliseconds until all runs have ended if no other starts. */
    internal fun remainingMillis(speed: Double, nowMillis: Long): Double {
        var steps = 0.0
        var longest = 0.0
        for (run in activeRuns) {
            val remaining = remainingSteps(run, speed, nowMillis)
            steps += remaining
            longest = maxOf(longest, remaining)
        }
        val others = (steps - longest) * EngineTimes.STEP_MILLIS_PER_REQUEST
        return slowness.slowedMillis((longest * EngineTimes.STEP_MILLIS + others) / speed, nowMillis)
    }

    private fun stepMillis(requests: Int): Double =
        EngineTimes.STEP_MILLIS + EngineTimes.STEP_MILLIS_PER_REQUEST * maxOf(0, requests - 1)

    private companion object {
        // Share of the length so far by which a run that is overdue is expected to go on.
        const val OVERRUN_SHARE = 0.25

        // A single run changes the expected speed by a factor of at most one and a half.
        const val MAXIMUM_SPEED_DEVIATION = 0.45

        // Workers twenty times as fast or as slow as usual are not told apart from faster or slower ones.
        const val MAXIMUM_LOG_SPEED = 3.0
    }
}
