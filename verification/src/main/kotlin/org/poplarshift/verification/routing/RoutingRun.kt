package org.poplarshift.verification.routing

import org.HdrHistogram.Histogram
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.dispatch.DispatchDecision
import org.poplarshift.node.dispatch.DispatchSettings
import org.poplarshift.node.dispatch.DispatchTicket
import org.poplarshift.verification.fleet.VirtualTime
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

/** One run of [scenario] with one policy. Arrivals, prompts and lengths depend only on the seed. */
class RoutingRun(private val scenario: RoutingScenario, settings: DispatchSettings) {
    private val time = VirtualTime()
    private val random = Random(scenario.seed)
    private val workers = List(RoutingScenario.WORKERS) { index ->
        Worker("worker$index", "127.0.0.1:1", scenario.zones[index % scenario.zones.size], EngineProfile().capacity)
    }
    private val upstream =
        Upstream("block-writer", "owner", UpstreamKind.MODEL, workers, models = listOf("model"))
    private val engines = workers.mapIndexed { index, worker ->
        val latencyFactor = if (index in scenario.slowWorkers) 2.0 else 1.0
        SimulatedEngine(worker.id, EngineProfile(latencyFactor = latencyFactor), time)
    }.associateBy { it.worker }
    private val nodes = List(RoutingScenario.NODES) { index ->
        val zone = scenario.zones[index % scenario.zones.size]
        SimulatedNode(upstream, zone, settings, time, Random(scenario.seed * 31 + index))
    }
    private val timeToFirstTokenMicros = Histogram(3)
    private var completed = 0
    private var refused = 0

    /** Runs the scenario and returns the measurements taken after the warm-up. */
    fun run(): RoutingResult {
        nodes.forEachIndexed { nodeIndex, node ->
            engines.values.forEachIndexed { index, engine ->
                val phaseMicros = (nodeIndex * 53L + index * 61L) % 500 * 1_000
                time.after(phaseMicros) { node.poll(engine, scenario.loadLagMillis) }
            }
        }
        scheduleArrival()
        time.runUntil((scenario.warmUpSeconds + scenario.durationSeconds) * MICROS_PER_SECOND) {}
        return RoutingResult(
            p50Millis = timeToFirstTokenMicros.getValueAtPercentile(50.0) / 1_000.0,
            p99Millis = timeToFirstTokenMicros.getValueAtPercentile(99.0) / 1_000.0,
            completed = completed,
            refused = refused,
            cacheHitRate = engines.values.sumOf { it.cacheHits }.toDouble() / engines.values.sumOf { it.promptCount },
        )
    }

    private fun scheduleArrival() {
        val second = time.nowMicros / MICROS_PER_SECOND
        // Five of every twenty seconds are a burst. The rate of the others is lowered to keep the mean.
        val calmFactor = (20 - 5 * scenario.burstFactor) / 15
        val rate = scenario.requestsPerSecond * if (second % 20 < 5) scenario.burstFactor else calmFactor
        time.after((-ln(1 - random.nextDouble()) / rate * MICROS_PER_SECOND).toLong()) {
            onArrival()
            scheduleArrival()
        }
    }

    private fun onArrival() {
        // Each of the first three nodes gets four times as many requests as each of the others.
        val node = nodes[maxOf(0, random.nextInt(6) - 3) * 3 + random.nextInt(3)]
        val organisation = "organisation${random.nextInt(scenario.organisations)}"
        // Squaring the uniform random number makes the first prefixes the most frequent ones.
        val prefix = "prefix${(random.nextDouble().pow(2) * scenario.prefixes).toInt()}"
        val suffixTokens = random.nextInt(20, 200)
        val outputTokens = random.nextInt(20, 120)
        val cost = scenario.prefixTokens + suffixTokens + outputTokens
        val startedMicros = time.nowMicros
        node.acquire(DispatchTicket(organisation, 1.0, cost.toLong(), fingerprint = "", prefix = prefix)) { decision ->
            if (decision is DispatchDecision.Granted) {
                send(node, decision, startedMicros, prefix, suffixTokens, outputTokens)
            } else if (isMeasured(startedMicros)) {
                refused++
            }
        }
    }

    private fun send(
        node: SimulatedNode,
        decision: DispatchDecision.Granted,
        startedMicros: Long,
        prefix: String,
        suffixTokens: Int,
        outputTokens: Int,
    ) {
        val worker = decision.grant.worker
        val delay = node.delayMicros(worker)
        val sentMicros = time.nowMicros
        var firstByteMillis: Long? = null
        val request = SimulatedRequest(
            prefix = prefix,
            prefixTokens = scenario.prefixTokens,
            suffixTokens = suffixTokens,
            outputTokens = outputTokens,
            onFirstToken = {
                firstByteMillis = (time.nowMicros + delay - sentMicros) / 1_000
                if (isMeasured(
                        startedMicros,
                    )
                ) {
                    timeToFirstTokenMicros.recordValue(time.nowMicros + delay - startedMicros)
                }
            },
            onEnd = {
                time.after(delay) { decision.grant.release(Verdict.Answered(200), firstByteMillis) }
                if (isMeasured(startedMicros)) completed++
            },
        )
        time.after(delay) { engines.getValue(worker.id).submit(request) }
    }

    private fun isMeasured(startedMicros: Long) = startedMicros >= scenario.warmUpSeconds * MICROS_PER_SECOND

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000L
    }
}
