package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan

/**
 * Guards against several nodes selecting the same free worker at load peaks. Requests then queue at a full worker while
 * others have free slots, and their first events are late.
 *
 * The pattern is the step load of all deployments: 3.4 s at 0.38 and 2.4 s at 1.87 times the mean rate, runs of 0.65 s.
 * The standard deployments have 9 or 11 nodes and 8 workers of 8 slots; the large one has 95 nodes in 5 zones, which
 * send unequal shares of the requests, and 36 workers. The baseline is a node that knows its own requests only.
 */
class SharedWorkersLoadTest :
    FunSpec({
        data class Case(
            val nodes: Int,
            val zoneWeights: List<Double>,
            val workers: Int,
            val perSecond: Double,
            val seed: Int,
        ) {
            val description = "$nodes nodes, ${zoneWeights.size} zones, $workers workers, seed $seed"
        }

        fun waits(case: Case, usesSchedulers: Boolean): List<Long> {
            val simulation = SharedWorkersSimulation(
                nodes = case.nodes,
                zoneWeights = case.zoneWeights,
                workers = case.workers,
                slots = 8,
                runMillis = 650,
                usesSchedulers = usesSchedulers,
                seed = case.seed,
            )
            return simulation.run(endMillis = 34_800) { millis ->
                if (millis % 5_800 < 3_400) case.perSecond * 0.383 else case.perSecond * 1.87
            }
        }

        fun List<Long>.shareAbove(millis: Long) = count { it > millis }.toDouble() / size

        val equal = List(3) { 1.0 }
        val large = listOf(51.5, 53.7, 65.3, 71.8, 68.3)
        listOf(
            Case(nodes = 9, equal, workers = 8, perSecond = 38.0, seed = 1),
            Case(nodes = 9, equal, workers = 8, perSecond = 38.0, seed = 2),
            Case(nodes = 11, equal, workers = 8, perSecond = 38.0, seed = 3),
            Case(nodes = 11, equal, workers = 8, perSecond = 38.0, seed = 4),
            Case(nodes = 11, equal, workers = 8, perSecond = 38.0, seed = 5),
            Case(nodes = 95, large, workers = 36, perSecond = 164.0, seed = 6),
            Case(nodes = 95, large, workers = 36, perSecond = 164.0, seed = 7),
        ).forEach { case ->
            test("at most 5% start late with schedulers, and fewer wait than without (${case.description})") {
                val scheduled = waits(case, usesSchedulers = true)
                val alone = waits(case, usesSchedulers = false)
                // The first event is due after 300 ms, of which the worker needs about 50 ms.
                println("late share: ${scheduled.shareAbove(250)} with schedulers, ${alone.shareAbove(250)} without")
                scheduled.shareAbove(250) shouldBeLessThan 0.05
                scheduled.shareAbove(50) shouldBeLessThan alone.shareAbove(50)
            }
        }
    })
