package org.poplarshift.serving.observe

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tags
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.cost.CostModel
import org.poplarshift.serving.MonotonicClock

/**
 * Metrics of the costs of requests, from the schedulers that run at this node.
 *
 * @param schedulers returns the workers of each scheduler by the service
 */
class CostMetrics(
    registry: MeterRegistry,
    private val clock: MonotonicClock,
    private val schedulers: () -> Map<String, LoadBalancer>,
) {
    private val remainingWork = MultiGauge.builder("worker_remaining_work_millis").register(registry)

    init {
        counter(registry, "cost_observed_runs") { it.observedRuns }
        counter(registry, "prompt_tokens") { it.promptTokens }
        counter(registry, "prompt_tokens_cached") { it.cachedPromptTokens }
        Gauge.builder("cost_error") { models().maxOfOrNull { it.meanError(clock.millis()) } ?: 0.0 }.register(registry)
    }

    /** Updates the metrics that have one series for each worker. Called before they are read. */
    fun refresh() {
        val now = clock.millis()
        val rows = schedulers().flatMap { (service, workers) ->
            workers.workerStates.map { state ->
                val tags = Tags.of("service", service, "worker", state.worker.id)
                MultiGauge.Row.of(tags, workers.costs.remainingMillis(state, now))
            }
        }
        remainingWork.register(rows, true)
    }

    private fun models(): List<CostModel> = schedulers().values.map { it.costs.model }

    private fun counter(registry: MeterRegistry, name: String, value: (CostModel) -> Long) {
        FunctionCounter.builder(name, this) { metrics -> metrics.models().sumOf(value).toDouble() }.register(registry)
    }
}
