package org.poplarshift.serving.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.RouteExplanation
import org.poplarshift.core.dispatch.RouteExplanation.Verdict
import org.poplarshift.core.dispatch.WorkerRouting
import org.poplarshift.serving.MonotonicClock

/** Guards against an explanation that names another worker than the scheduler would choose, or changes what it knows. */
class RouteExplainerTest :
    FunSpec({
        val ids = listOf("free", "busy", "full", "leaving")
        val entries = ids.map {
            FleetWorker(it, "s", "10.0.0.1:1", "here", 2, isDraining = it == "leaving", startedMillis = 1)
        }
        val workers = LoadBalancer("here", routing = WorkerRouting.COST, memoryTokens = { 1_000 }) { 0.0 }.apply {
            update(entries)
            listOf("busy", "full", "full").forEach { state(it)?.onSent(isBatch = false) }
        }

        fun explain(query: String, scheduler: String? = "n"): RouteExplanation = Json.decodeFromString(
            RouteExplanation.serializer(),
            RouteExplainer("n", MonotonicClock { 0L }, { mapOf("s" to workers) }) { scheduler }
                .explain("/explain-route?$query"),
        )

        listOf(
            "service=s&route=r&prompt=400&maximum=400&expected=200&part=a:350&part=own:50" to 585L,
            "service=s&route=r" to 580L,
            "service=s&prompt=many&maximum=-1&part=:&part=x" to 580L,
        ).forEach { (query, workMillis) ->
            test("the scheduler explains its choice for $query and assigns nothing") {
                val explanation = explain(query)
                explanation.worker shouldBe "free"
                explanation.workMillis shouldBe workMillis
                explanation.candidates.associate { it.worker to it.verdict } shouldBe mapOf(
                    "free" to Verdict.CHOSEN,
                    "busy" to Verdict.COSTS_MORE,
                    "full" to Verdict.NO_FREE_SLOT,
                    "leaving" to Verdict.UNAVAILABLE,
                )
                workers.state("free")?.let { it.online to it.work.runs } shouldBe (0 to 0)
            }
        }

        listOf(
            "service=s" to "m",
            "service=s" to null,
            "service=other" to "n",
            "" to "n",
        ).forEach { (query, scheduler) ->
            test("a node without the scheduler, which is at $scheduler, states only that for '$query'") {
                val explanation = explain(query, scheduler)
                explanation.scheduler shouldBe scheduler
                explanation.candidates shouldBe emptyList()
            }
        }
    })
