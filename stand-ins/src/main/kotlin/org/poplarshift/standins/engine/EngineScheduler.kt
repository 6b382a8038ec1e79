package org.poplarshift.standins.engine

import io.vertx.core.Vertx
import org.poplarshift.standins.http.LoadHistory
import org.poplarshift.standins.http.monotonicMillis

/**
 * Continuous batching: in each step, every running request generates one token. A step takes longer the more requests
 * run. Requests are admitted as they arrive, up to the capacity; the engine knows no priority.
 *
 * Belongs to one event loop.
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

    /** Load over time. */
    val loadHistory = LoadHistory()

    /** Queues [run]; it starts in the next step if there is room. */
    fun submit(run: EngineRun) {
        waiting += run
        admit()
        if (!isStepping) {
            isStepping = true
            nextStepMillis = nowMillis()
            scheduleStep()
        }
    }

    /** Ends [run] without a response. */
    fun abort(run: EngineRun): Boolean {
        val wasScheduled = waiting.remove(run) || running.remove(run)
        if (wasScheduled) admit()
        return wasScheduled
    }

    /** Cancels all runs of [requestId]; returns whether there was one. */
    fun cancel(requestId: String): Boolean {
        val found = (waiting + running).filter { it.requestId == requestId }
        found.forEach { run ->
            abort(run)
            run.output.onCancelled(run)
        }
        return found.isNotEmpty()
    }

    /** The identifier of another request that is running now, if any. */
    fun findOtherRequestId(requestId: String): String? = running.firstOrNull { it.requestId != requestId }?.requestId

    /** Drops all runs. */
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
        // A late timer is made up for in the next steps, but a pause of the process is not.
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
