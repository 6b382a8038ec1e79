package org.poplarshift.verification.routing

import org.poplarshift.core.routing.LoadReport
import org.poplarshift.verification.fleet.VirtualTime

/** A request to a simulated engine. [onFirstToken] and [onEnd] are called at the virtual times of the events. */
class SimulatedRequest(
    val prefix: String,
    val prefixTokens: Int,
    val suffixTokens: Int,
    val outputTokens: Int,
    val onFirstToken: () -> Unit,
    val onEnd: () -> Unit,
) {
    internal var readyMicros = 0L
    internal var generatedTokens = 0
}

/**
 * The load model of the engine stand-in in virtual time: continuous batching with one token per request and step,
 * admission in order of arrival, and a prompt cache that evicts the least recently used prefix.
 */
class SimulatedEngine(val worker: String, private val profile: EngineProfile, private val time: VirtualTime) {
    private val waiting = ArrayDeque<SimulatedRequest>()
    private val running = mutableListOf<SimulatedRequest>()
    private val cache = object : LinkedHashMap<String, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > profile.cacheCapacity
    }
    private var isStepping = false

    /** Numbers of prompts whose prefix was cached and of all prompts. */
    var cacheHits = 0
        private set
    var promptCount = 0
        private set

    /** Returns the current load. */
    fun load() = LoadReport(worker, running.size, waiting.size, profile.capacity)

    /** Queues [request]. */
    fun submit(request: SimulatedRequest) {
        waiting += request
        admit()
        if (!isStepping) {
            isStepping = true
            scheduleStep()
        }
    }

    private fun admit() {
        while (waiting.isNotEmpty() && running.size < profile.capacity) {
            val request = waiting.removeFirst()
            val isHit = cache.put(request.prefix, Unit) != null
            promptCount++
            if (isHit) cacheHits++
            val uncachedTokens = request.suffixTokens + if (isHit) 0 else request.prefixTokens
            request.readyMicros =
                time.nowMicros + micros(profile.firstTokenMillis + uncachedTokens * profile.promptTokenMillis)
            running += request
        }
    }

    private fun scheduleStep() {
        val others = maxOf(0, running.size - 1)
        time.after(micros(profile.tokenMillis + profile.tokenMillisPerRequest * others)) { step() }
    }

    private fun step() {
        running.filter { it.readyMicros <= time.nowMicros }.forEach { generate(it) }
        admit()
        if (running.isEmpty()) isStepping = false else scheduleStep()
    }

    private fun generate(request: SimulatedRequest) {
        request.generatedTokens++
        if (request.generatedTokens == 1) request.onFirstToken()
        if (request.generatedTokens < request.outputTokens) return
        running.remove(request)
        request.onEnd()
    }

    private fun micros(millis: Double): Long = (millis * profile.latencyFactor * 1_000).toLong()
}
