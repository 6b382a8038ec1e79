package org.poplarshift.serving.observe

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainAll
import io.kotest.matchers.shouldBe
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.PromptPart
import org.poplarshift.core.dispatch.RequestSize
import org.poplarshift.core.dispatch.RunObservation
import org.poplarshift.core.dispatch.SlotKey
import org.poplarshift.core.dispatch.SlotQueue
import org.poplarshift.core.dispatch.SlotRequest
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.serving.MonotonicClock

/** Guards against metrics that show the work of workers which are gone, or nothing of what has been learned. */
class CostMetricsTest :
    FunSpec({
        test("the metrics show the work of the registered workers and the prompt tokens that were cached") {
            val worker = FleetWorker("w0", "s", "10.0.0.1:1", "here", 8, isDraining = false, startedMillis = 1)
            val workers = LoadBalancer("here") { 0.0 }.apply { update(listOf(worker)) }
            val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
            val metrics = CostMetrics(registry, MonotonicClock { 600L }) { mapOf("s" to workers) }
            val size = RequestSize(400, 400, 200, listOf(PromptPart("shared", 350), PromptPart("own", 50)))
            val queue = SlotQueue("s", workers)
            fun request(number: Long) =
                SlotRequest(SlotKey("n", number), SlotUse.ONLINE, 0, 500, route = "r", size = size)
            queue.submit(request(1), nowMillis = 0)
            workers.costs.onObserved(SlotKey("n", 1), RunObservation(10, 600, outputTokens = 200), nowMillis = 600)
            queue.submit(request(2), nowMillis = 600)

            fun scrape() = registry.also { metrics.refresh() }.scrape().lines().filter { !it.startsWith("#") }
                .associate { it.substringBeforeLast(' ') to it.substringAfterLast(' ').toDoubleOrNull() }
            val values = scrape()
            values shouldContainAll mapOf(
                "cost_observed_runs_total" to 1.0,
                "prompt_tokens_total" to 800.0,
                "prompt_tokens_cached_total" to 350.0,
            )
            val remaining = "worker_remaining_work_millis{service=\"s\",worker=\"w0\"}"
            (checkNotNull(values[remaining]) in 500.0..700.0) shouldBe true
            workers.update(emptyList())
            (remaining in scrape()) shouldBe false
        }
    })
