package org.poplarshift.core.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/**
 * Guards against more requests to a cold worker than it accepts without crashing, summed over the scheduler of its zone,
 * a scheduler that stands in for it, and all nodes without a scheduler, and against limits that outlast the cold phase.
 */
class ColdWorkerTest :
    FunSpec({
        fun worker(coldUntilMillis: Long) =
            FleetWorker("w", "s", "10.0.0.1:80", "here", 1_000, isDraining = false, startedMillis = 1, coldUntilMillis)

        fun balancer(random: Random, limit: () -> Double?, share: Double, worker: FleetWorker = worker(END_MILLIS)) =
            LoadBalancer("here", { share }, { limit() }) { random.nextDouble() }.apply { update(listOf(worker)) }

        fun LoadBalancer.send(now: Long): Int {
            val state = choose("s", headroom = 0, emptySet(), now) ?: return 0
            state.onPaced(now)
            return 1
        }

        fun mostInSecond(sent: List<Long>): Int =
            sent.maxOfOrNull { start -> sent.count { it in start until start + 1_000 } } ?: 0

        data class Case(val name: String, val rate: Double, val nodes: Int, val isSteady: Boolean)

        // The times at which both schedulers and all nodes without one send requests to the worker.
        fun simulate(case: Case, random: Random): List<Long> {
            val users = listOf(1.0, RateLimitShares.ofScheduler(isPreferred = false))
                .plus(List(case.nodes) { RateLimitShares.ofNode(case.nodes) })
                .map { balancer(random, { case.rate }, it) }
            val sent = ArrayList<Long>()
            for (now in 0L until END_MILLIS step 10) {
                val hasRequests = case.isSteady || now % PAUSE_MILLIS < 1_000
                for (user in users) {
                    if (!hasRequests) user.state("w")?.startableRequests(now)
                    if (hasRequests) repeat(user.send(now)) { sent += now }
                }
            }
            return sent
        }

        listOf(1.0, 4.0, 12.0).flatMap { rate ->
            listOf(3, 9, 62, 91, 360).flatMap { nodes ->
                listOf(
                    Case("that always have requests", rate, nodes, isSteady = true),
                    Case("that all have requests again after a pause", rate, nodes, isSteady = false),
                )
            }
        }.forEach { case ->
            test("a cold worker keeps ${case.rate} requests a second of ${case.nodes} nodes ${case.name}") {
                for (seed in 1..SEEDS) {
                    val sent = simulate(case, Random(seed))
                    withClue("seed $seed, sent ${sent.size}") {
                        mostInSecond(sent).toDouble() shouldBeLessThanOrEqual case.rate * OVERAGE + SLACK
                        // The cold worker is used as well.
                        val used = if (case.isSteady) (0.9 * case.rate * END_MILLIS / 1_000).toInt() else 1
                        sent.size shouldBeGreaterThanOrEqual used
                    }
                }
            }
        }

        data class EndCase(val name: String, val coldUntilMillis: Long, val limit: Double?, val expected: Int)
        listOf(
            EndCase("a worker that is not cold", coldUntilMillis = 0, limit = 2.0, expected = 500),
            EndCase("a cold worker of a service without a limit", coldUntilMillis = 9_000, limit = null, 500),
            EndCase("a cold worker from its first entry on", coldUntilMillis = 9_000, limit = 2.0, expected = 0),
            EndCase(
                "a worker whose configuration is not known yet",
                coldUntilMillis = 9_000,
                limit = 0.0,
                expected = 0,
            ),
        ).forEach { case ->
            test("${case.name} gets ${case.expected} requests at once") {
                val balancer = balancer(Random(SEED), { case.limit }, 1.0, worker(case.coldUntilMillis))
                (0 until 500).sumOf { balancer.send(now = 0) } shouldBe case.expected
            }
        }

        test("the lower one of the limits of a cold worker and of its statement applies") {
            for ((stated, cold) in listOf(1.0 to 4.0, 4.0 to 1.0)) {
                val balancer = balancer(Random(SEED), { cold }, 1.0)
                balancer.state("w")?.onRateLimit(stated, nowMillis = 0)
                (0L until END_MILLIS step 10).sumOf { balancer.send(it) } shouldBe END_MILLIS.toInt() / 1_000 - 1
            }
        }

        test("the limit ends with the cold phase, and another one in the entry begins it again") {
            val balancer = balancer(Random(SEED), { 2.0 }, 1.0, worker(coldUntilMillis = 1_000))
            (0 until 100).sumOf { balancer.send(now = 900) } shouldBe 0
            (0 until 100).sumOf { balancer.send(now = 1_000) } shouldBe 100
            balancer.update(listOf(worker(coldUntilMillis = 5_000)))
            (0 until 100).sumOf { balancer.send(now = 2_000) } shouldBe 0
        }

        test("a worker counts as cold when the evacuation of its zone has ended, until its entry can say so") {
            val balancer = balancer(Random(SEED), { 2.0 }, 1.0, worker(coldUntilMillis = 0))
            balancer.evacuate(setOf("here"), nowMillis = 0)
            balancer.evacuate(emptySet(), nowMillis = 20_000)
            (0 until 100).sumOf { balancer.send(now = 20_000) } shouldBe 0
            (0 until 100).sumOf { balancer.send(now = 23_000) } shouldBe 100
        }
    }) {
    private companion object {
        const val SEED = 7
        const val SEEDS = 3
        const val END_MILLIS = 110_000L
        const val PAUSE_MILLIS = 50_000L

        // The users' rule: in one second at most one and a half times what the limit allows, and five requests.
        const val OVERAGE = 1.5
        const val SLACK = 5.0
    }
}
