package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.core.test.Enabled
import io.kotest.matchers.doubles.shouldBeLessThan
import org.poplarshift.core.dispatch.SimulatedWorker.Companion.SLOW_FACTOR
import org.poplarshift.core.dispatch.SimulatedWorker.Companion.STEP_MILLIS
import org.poplarshift.core.dispatch.SimulatedWorker.Companion.STEP_MILLIS_PER_REQUEST
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** Guards against a choice by cost that is worse than simple ones, or far from one that knows the true costs. */
class RoutingComparisonTest :
    FunSpec({
        class Scenario(
            val name: String,
            val speeds: List<Double> = listOf(0.55, 1.0, 1.2, 1.3),
            val load: Double = 0.7,
            val hint: (Int, Random) -> Int? = { steps, random ->
                (
                    steps *
                        exp(0.2 * random.asJavaRandom().nextGaussian())
                    ).toInt()
            },
            val steps: (Int, Random) -> Int = { _, random -> heavyTailed(200.0, 0.5, random) },
            val prefixes: Int = 1_000_000,
            val spellsPerSecond: Double = 0.0,
            val nodes: Int = 1,
            val alternates: Boolean = false,
            val batchShare: Double = 0.0,
            val lost: Double = 0.0,
            val isKnownRed: Boolean = false,
        )

        fun knownRed(isKnownRed: Boolean): Enabled = when {
            isKnownRed && System.getenv("KNOWN_RED") == null ->
                Enabled.disabled("listed in KNOWN-RED.txt, run with the environment variable KNOWN_RED")
            else -> Enabled.enabled
        }

        fun requests(scenario: Scenario, random: Random): List<SimulatedRequest> {
            val mean = List(2_000) { scenario.steps(it % 3, random) }.average()
            val slots = WORKERS * SLOTS * List(WORKERS) { scenario.speeds[it % scenario.speeds.size] }.average()
            val perMilli = scenario.load * slots / ((STEP_MILLIS + (SLOTS - 1) * STEP_MILLIS_PER_REQUEST) * mean)
            var now = 0.0
            return List(REQUESTS) { number ->
                val factor = if (!scenario.alternates) {
                    1.0
                } else if ((now / 2_900).toInt() % 2 == 0) {
                    0.383
                } else {
                    1.617
                }
                now += -ln(1 - random.nextDouble()) / (perMilli * factor)
                val route = random.nextInt(3)
                val isBatch = random.nextDouble() < scenario.batchShare
                val steps = if (isBatch) heavyTailed(1_400.0, 0.3, random) else scenario.steps(route, random)
                val hint = scenario.hint(steps, random)?.coerceAtLeast(1)
                SimulatedRequest(
                    number.toLong(),
                    now,
                    steps,
                    random.nextInt(scenario.prefixes),
                    "r$route${if (isBatch) "b" else ""}",
                    hint,
                    isBatch,
                )
            }
        }

        /** The greedy choice of the least delay for all runs, with the true costs. */
        fun oracle() = ScorePolicy { request, worker, now ->
            val steps = worker.stepsOf(request)
            val shared = worker.runs.sumOf { minOf(steps, it.remaining) } * STEP_MILLIS_PER_REQUEST / worker.speed
            val usual = steps * STEP_MILLIS / worker.speed + shared
            val left = (worker.slowUntil - now).coerceAtLeast(0.0)
            shared + if (usual * SLOW_FACTOR <= left) usual * SLOW_FACTOR else usual + left * (1 - 1 / SLOW_FACTOR)
        }

        fun policies(scenario: Scenario, workers: List<SimulatedWorker>, seed: Int): Map<String, SimulatedPolicy> {
            val random = Random(seed)
            var next = 0
            return mapOf(
                "oracle" to oracle(),
                "cost" to BalancerPolicy(WorkerRouting.COST, workers, scenario.nodes, random, scenario.lost),
                "load" to BalancerPolicy(WorkerRouting.LOAD, workers, scenario.nodes, random, scenario.lost),
                "round robin" to object : SimulatedPolicy {
                    override fun choose(request: SimulatedRequest, workers: List<SimulatedWorker>, now: Double): Int? =
                        workers.indices.map { (next + it) % workers.size }
                            .firstOrNull { workers[it].runs.size < workers[it].slots }
                            ?.also { next = it + 1 }
                },
                "least requests" to ScorePolicy { _, worker, _ -> worker.runs.size + random.nextDouble() * 0.5 },
                "power of two" to object : SimulatedPolicy {
                    override fun choose(request: SimulatedRequest, workers: List<SimulatedWorker>, now: Double): Int? =
                        workers.indices.filter { workers[it].runs.size < workers[it].slots }.shuffled(random)
                            .take(2).minByOrNull { workers[it].runs.size }
                },
            )
        }

        class Figures(val mean: Double, val p50: Double, val p99: Double, val onTime: Double)

        fun measure(scenario: Scenario, name: String, seed: Int): Figures {
            val workers = List(WORKERS) { SimulatedWorker("w$it", scenario.speeds[it % scenario.speeds.size], SLOTS) }
            val random = Random(seed)
            val all = requests(scenario, random)
            val spells = ArrayList<Pair<Double, Int>>()
            var at = 0.0
            while (scenario.spellsPerSecond > 0 && at < all.last().arrivalMillis) {
                at += -ln(1 - random.nextDouble()) * 1_000 / scenario.spellsPerSecond
                spells += at to random.nextInt(WORKERS)
            }
            val latencies = RoutingSimulation(
                all,
                workers,
                policies(scenario, workers, seed).getValue(name),
                spells,
            ).run()
            // The first runs have nothing to learn from and are the same in all policies.
            val judged = all.zip(latencies).drop(WARM_UP).filter { !it.first.isBatch }
            val sorted = judged.map { it.second }.sorted()
            val onTime = judged.count { (request, latency) ->
                latency <=
                    request.steps * ON_TIME_STEP_MILLIS + ON_TIME_MILLIS
            }
            return Figures(
                sorted.average(),
                sorted[sorted.size / 2],
                sorted[sorted.size * 99 / 100],
                onTime.toDouble() / judged.size,
            )
        }

        listOf(
            Scenario("usual lengths, four speeds"),
            Scenario("heavy-tailed lengths", steps = { _, random -> heavyTailed(200.0, 1.2, random) }),
            Scenario(
                "lengths by route, no hints",
                hint = { _, _ -> null },
                steps = { route, random -> heavyTailed(listOf(50.0, 200.0, 800.0)[route], 0.3, random) },
            ),
            Scenario("wrong hints", hint = { _, random -> heavyTailed(400.0, 1.5, random) }),
            Scenario("one slow worker", speeds = List(WORKERS) { if (it == 7) 0.55 else 1.0 }),
            Scenario("spells of slowness", spellsPerSecond = 6.0),
            Scenario("stale figures of 10 nodes without a scheduler", nodes = 10, load = 0.5),
            // Misses the bound, see KNOWN-RED.txt; run with the environment variable KNOWN_RED.
            Scenario(
                "the same with spells of slowness",
                nodes = 10,
                load = 0.5,
                spellsPerSecond = 6.0,
                isKnownRed = true,
            ),
            Scenario("alternating load", alternates = true, load = 0.55),
            Scenario("shared prompt parts", prefixes = 400),
            Scenario("a tenth batch items", batchShare = 0.1, load = 0.4),
            Scenario("every second observation lost", lost = 0.5),
            Scenario("equal workers, equal lengths", speeds = listOf(1.0), steps = { _, _ -> 200 }),
        ).forEach { scenario ->
            val name = "the choice by cost is within 10% of the oracle and not worse than by load: ${scenario.name}"
            test(name).config(enabledOrReasonIf = { knownRed(scenario.isKnownRed) }) {
                val names = listOf("oracle", "cost", "load", "round robin", "least requests", "power of two")
                val figures = names.associateWith { name -> SEEDS.map { measure(scenario, name, it) } }
                val oracleMean = figures.getValue("oracle").map { it.mean }.average()
                for ((name, list) in figures) {
                    val mean = list.map { it.mean }.average()
                    println(
                        "| ${scenario.name} | $name | %.0f | %.0f | %.1f | %.1f |".format(
                            list.map { it.p50 }.average(),
                            list.map { it.p99 }.average(),
                            list.map { it.onTime }.average() * 100,
                            (mean / oracleMean - 1) * 100,
                        ),
                    )
                }
                val cost = figures.getValue("cost").map { it.mean }.average()
                cost shouldBeLessThan oracleMean * 1.1
                cost shouldBeLessThan figures.getValue("load").map { it.mean }.average() * 1.01
            }
        }
    }) {
    private companion object {
        const val WORKERS = 20
        const val SLOTS = 8
        const val REQUESTS = 6_000
        const val WARM_UP = 500
        val SEEDS = 1..3

        // A response is on time if it takes at most one and a half times that of a full worker of the usual speed.
        const val ON_TIME_STEP_MILLIS = 5.4
        const val ON_TIME_MILLIS = 200.0

        fun heavyTailed(median: Double, sigma: Double, random: Random): Int =
            (median * exp(sigma * random.asJavaRandom().nextGaussian())).toInt().coerceIn(2, 4_000)
    }
}
