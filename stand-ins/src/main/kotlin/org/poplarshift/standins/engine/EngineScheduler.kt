package org.poplarshift.standins.engine

import io.vertx.core.Vertx
import org.poplarshift.standins.http.LoadHistory
import org.poplarshift.standins.http.monotonicMillis

/**
 * Schedules runs with continuous batching: in each step, every running request generates one token. The duration of a
 * step grows with the number of running requests. Requests are admitted in order of arrival, up to the capacity. The
 * engine does not support priorities.
 *
 * Not thread-safe; used on one event loop only.
 */
internal class EngineScheduler(
    private val vertx: Vertx,
    private val settings: EngineSettings,
    private val cache: PrefixCache,
    private val crash: () -> Unit,
) {
    private val waiting = ArrayDeque<EngineRun>()
    private val running = mutableListOf<EngineRun>()
    private var isStepping = false
    private var nextStepMillis = 0.0

    /** The numbers of running and waiting requests over time. */
    val loadHistory = LoadHistory()

    /** Queues [run]. It starts immediately if fewer requests run than the capacity allows. */
    fun submit(run: EngineRun) {
        waiting += run
        admit()
        if (!isStepping) {
            isStepping = true
            nextStepMillis = nowMillis()
            scheduleStep()
        }
    }

    /** Removes [run] without a response; returns whether it was waiting or running. */
    fun abort(run: EngineRun): Boolean {
        val wasScheduled = waiting.remove(run) || running.remove(run)
        if (wasScheduled) admit()
        return wasScheduled
    }

    /** Cancels all runs of [requestId]; returns whether any was found. */
    fun cancel(requestId: String): Boolean {
        val found = (waiting + running).filter { it.requestId == requestId }
        found.forEach { run ->
            abort(run)
            run.output.onCancelled(run)
        }
        return found.isNotEmpty()
    }

    /** Returns the identifier of a running request other than [requestId], or null if there is none. */
    fun findOtherRequestId(requestId: String): String? = running.firstOrNull { it.requestId != requestId }?.requestId

    /** Removes all runs without a response. */
    fun clear() {
        waiting.clear()
        running.clear()
        recordLoad()
    }

    private fun admit() {
        while (waiting.isNotEmpty() && running.size < settings.capacity) {
            val run = waiting.removeFirst()
            val uncachedTokens = run.promptTokens * cache.storeAndGetMissRatio(run.prompt)
            run.readyMillis = nowMillis() + settings.firstTokenMillis + uncachedTokens * settings.promptTokenMillis
            running += run
        }
        recordLoad()
    }

    private fun scheduleStep() {
        val others = maxOf(0, running.size - 1)
        val stepMillis = settings.tokenMillis + settings.tokenMillisPerRequest * others
        // The next steps catch up with a late timer, but not with a pause of the whole process.
        nextStepMillis = maxOf(nextStepMillis + stepMillis, nowMillis() - MAXIMUM_CATCH_UP_MILLIS)
        vertx.setTimer(maxOf(1, (nextStepMillis - nowMillis()).toLong())) { step() }
    }

    private fun step() {
        val ready = running.filter { it.readyMillis <= nowMillis() }
        if (ready.any { it.isCrashing }) {
            isStepping = false
            crash()
            return
        }
        ready.forEach(::generate)
        if (running.isEmpty() && waiting.isEmpty()) isStepping = false else scheduleStep()
    }

    private fun generate(run: EngineRun) {
        if (run !in running) return
        run.output.onToken(run, GeneratedText.token(run.prompt, run.generatedTokens++))
        if (run.generatedTokens < run.requestedTokens || run !in running) return
        running.remove(run)
        run.output.onFinished(run)
        admit()
    }

    private fun recordLoad() = loadHistory.record(monotonicMillis(), running.size, waiting.size)

    private fun nowMillis() = System.nanoTime() / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000.0
        const val MAXIMUM_CATCH_UP_MILLIS = 50.0
    }
}
