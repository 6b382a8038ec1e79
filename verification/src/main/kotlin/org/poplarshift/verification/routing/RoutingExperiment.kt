package org.poplarshift.verification.routing

import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.node.dispatch.DispatchSettings

/** Compares routing policies with the baseline by pairs of runs with the same seed. */
object RoutingExperiment {
    private val BASELINE = DispatchSettings(RoutingPolicyChoice.RoundRobin, isBounded = false)

    private val CANDIDATES = mapOf(
        "round robin with queue" to DispatchSettings(RoutingPolicyChoice.RoundRobin),
        "power of two" to DispatchSettings(RoutingPolicyChoice.PowerOfTwo),
        "prefix affinity" to DispatchSettings(RoutingPolicyChoice.PrefixAffinity),
        "periodic weights 5 s" to DispatchSettings(RoutingPolicyChoice.PeriodicWeights(5)),
        "periodic weights 7 s" to DispatchSettings(RoutingPolicyChoice.PeriodicWeights(7)),
        "periodic weights 10 s" to DispatchSettings(RoutingPolicyChoice.PeriodicWeights(10)),
    )

    /** Runs [pairs] pairs for each policy, with seeds from that of [base] upwards, and prints a table for each rate. */
    fun run(base: RoutingScenario, pairs: Int, ratesPerSecond: List<Double>) = ratesPerSecond.forEach { rate ->
        val firstSeed = base.seed
        println(
            "rate $rate/s, $pairs pairs, seeds $firstSeed to ${firstSeed + pairs - 1}, " +
                "${base.zones.size} zones, ${base.prefixes} prefixes",
        )
        println("| policy | p50 ms | p99 ms | p99 against baseline | refused | cache hits |")
        println("| --- | --- | --- | --- | --- | --- |")
        val baselines = mutableListOf<RoutingResult>()
        CANDIDATES.forEach { (name, settings) ->
            val results = (firstSeed until firstSeed + pairs).map { seed ->
                val scenario = base.copy(seed = seed, requestsPerSecond = rate)
                RoutingRun(scenario, BASELINE).run() to RoutingRun(scenario, settings).run()
            }
            if (baselines.isEmpty()) baselines += results.map { it.first }
            printRow(name, results.map { it.second }, baselines)
        }
        printRow("baseline: round robin without queue", baselines, baselines)
    }

    private fun printRow(name: String, results: List<RoutingResult>, baselines: List<RoutingResult>) {
        val ratios = results.zip(baselines) { result, baseline -> result.p99Millis / baseline.p99Millis }
        val refused = results.sumOf { it.refused } * 100.0 / results.sumOf { it.refused + it.completed }
        println(
            "| $name | ${formatRange(results.map { it.p50Millis })} | ${formatRange(results.map { it.p99Millis })} " +
                "| ${"%.2f".format(median(ratios))} | ${"%.2f".format(refused)}% " +
                "| ${"%.0f".format(median(results.map { it.cacheHitRate * 100 }))}% |",
        )
    }

    private fun formatRange(values: List<Double>): String =
        "%.0f (%.0f to %.0f)".format(median(values), values.min(), values.max())

    private fun median(values: List<Double>): Double = values.sorted()[values.size / 2]
}

/** Arguments: number of pairs, first seed, number of zones, number of distinct prefixes, request rates per second. */
fun main(arguments: Array<String>) {
    val pairs = arguments.getOrNull(0)?.toInt() ?: 5
    val seed = arguments.getOrNull(1)?.toLong() ?: 1
    val zones = arguments.getOrNull(2)?.toInt() ?: 3
    val prefixes = arguments.getOrNull(3)?.toInt() ?: 60
    val rates = arguments.drop(4).map { it.toDouble() }.ifEmpty { listOf(45.0, 70.0, 90.0) }
    val scenario = RoutingScenario(seed = seed, zones = List(zones) { "zone${it + 1}" }, prefixes = prefixes)
    RoutingExperiment.run(scenario, pairs, rates)
}
