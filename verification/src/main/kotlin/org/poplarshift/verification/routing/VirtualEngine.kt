package org.poplarshift.verification.routing

import org.poplarshift.core.routing.LoadReport
import org.poplarshift.verification.fleet.VirtualTime

/** A request at a simulated engine; [onFirstToken] and [onEnd] are called at their virtual times. */
class VirtualRun(
    val prefix: String,
    val prefixTokens: Int,
    val otherPromptTokens: Int,
    val tokens: Int,
    val onFirstToken: () -> Unit,
    val onEnd: () -> Unit,
) {
    internal var readyMicros = 0L
    internal var generated = 0
}

/**
 * The load model of the engine stand-in in virtual time: continuous batching with one token per request and step,
 * admission as requests arrive, and a prompt cache that evicts the least recently used prefix.
 */
class VirtualEngine(val worker: String, private val profile: EngineProfile, private val time: VirtualTime) {
    private val waiting = ArrayDeque<VirtualRun>()
    private val running = mutableListOf<VirtualRun>()
    private val cache = object : LinkedHashMap<String, Unit>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > profile.cachedPrefixes
    }
    private var isStepping = false

    /** Prompts whose prefix was cached, and all prompts. */
    var hits = 0
        private set
    var prompts = 0
        private set

    /** The load at this instant. */
    fun load() = LoadReport(worker, running.size, waiting.size, profile.capacity)

    /** Queues [run]. */
    fun submit(run: VirtualRun) {
        waiting += run
        admit()
        if (!isStepping) {
            isStepping = true
            scheduleStep()
        }
    }

    private fun admit() {
        while (waiting.isNotEmpty() && running.size < profile.capacity) {
            val run = waiting.removeFirst()
            val isHit = cache.put(run.prefix, Unit) != null
            prompts++
            if (isHit) hits++
            val tokens = run.otherPromptTokens + if (isHit) 0 else run.prefixTokens
            run.readyMicros = time.nowMicros + micros(profile.firstTokenMillis + tokens * profile.promptTokenMillis)
            running += run
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

    private fun generate(run: VirtualRun) {
        run.generated++
        if (run.generated == 1) run.onFirstToken()
        if (run.generated < run.tokens) return
        running.remove(run)
        run.onEnd()
    }

    private fun micros(millis: Double): Long = (millis * profile.slowness * 1_000).toLong()
}
