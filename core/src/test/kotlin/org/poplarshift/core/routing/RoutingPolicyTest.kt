package org.poplarshift.core.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against routing policies that ignore availability zones, load or prefixes. */
class RoutingPolicyTest :
    FunSpec({
        fun candidate(worker: String, load: Int = 0, zone: String = "thimi", firstByteMillis: Double = 0.0) =
            WorkerCandidate(worker, zone, capacity = 8, load = load, firstByteMillis = firstByteMillis)

        data class Case(val name: String, val candidates: List<WorkerCandidate>, val expected: WorkerSelection)
        listOf(
            Case("without a worker, none is selected", emptyList(), WorkerSelection.NoWorker),
            Case(
                "when all workers are full, none is selected",
                listOf(candidate("a", 8), candidate("b", 9, "patan")),
                WorkerSelection.AllFull,
            ),
            Case(
                "a worker in the local zone is preferred",
                listOf(candidate("a", 7), candidate("b", 0, "patan")),
                WorkerSelection.Chosen("a"),
            ),
            Case(
                "when the local workers are full, another zone is used",
                listOf(candidate("a", 8), candidate("b", 7, "patan")),
                WorkerSelection.Chosen("b"),
            ),
            Case(
                "without a local worker, another zone is used",
                listOf(candidate("b", 7, "patan")),
                WorkerSelection.Chosen("b"),
            ),
        ).forEach { case ->
            test("for every policy: ${case.name}") {
                val choices = listOf(
                    RoutingPolicyChoice.RoundRobin,
                    RoutingPolicyChoice.PowerOfTwo,
                    RoutingPolicyChoice.PrefixAffinity,
                    RoutingPolicyChoice.PeriodicWeights(),
                )
                choices.forEach {
                    val selector = WorkerSelector("thimi", RoutingPolicy.create(it, Random(1)))
                    selector.select(case.candidates, "prefix", 0) shouldBe case.expected
                }
            }
        }

        test("round robin chooses the workers in turn") {
            val policy = RoundRobin()
            val workers = listOf("c", "a", "b").map { candidate(it) }
            (1..4).map { policy.choose(workers, "", 0).worker } shouldBe listOf("a", "b", "c", "a")
        }

        test("power of two prefers the worker with less load and the faster worker") {
            val policy = PowerOfTwo(Random(2))
            policy.choose(listOf(candidate("a", 5), candidate("b", 2)), "", 0).worker shouldBe "b"
            val unequal = listOf(candidate("a", 2, firstByteMillis = 900.0), candidate("b", 3, firstByteMillis = 90.0))
            policy.choose(unequal, "", 0).worker shouldBe "b"
        }

        test("prefix affinity is stable, moves only the prefixes of a worker that leaves, and bounds the load") {
            val policy = PrefixAffinity(RoundRobin())
            val workers = (1..8).map { candidate("w$it") }
            val prefixes = (1..1_000).map { "prefix $it" }
            val before = prefixes.associateWith { policy.choose(workers, it, 0).worker }
            val after = prefixes.associateWith { policy.choose(workers.drop(1), it, 0).worker }
            prefixes.filter { before[it] != "w1" }.all { before[it] == after[it] } shouldBe true
            before.values.groupingBy {
                it
            }.eachCount().values.forEach { it.toDouble().shouldBeBetween(85.0, 165.0, 0.0) }
            val home = before.getValue("prefix 1")
            val loaded = workers.map { it.copy(load = if (it.worker == home) 5 else 2) }
            (policy.choose(loaded, "prefix 1", 0).worker != home) shouldBe true
        }

        test("periodic weights change only once per period") {
            val policy = PeriodicWeights(periodMillis = 7_000)
            fun shareOfA(reportedLoadOfA: Int, nowMillis: Long): Int = (1..100).count {
                val workers = listOf(candidate("a").copy(reportedLoad = reportedLoadOfA), candidate("b"))
                policy.choose(workers, "", nowMillis).worker == "a"
            }
            shareOfA(0, 0) shouldBe 50
            shareOfA(8, 6_999) shouldBe 50
            (shareOfA(8, 7_000) < 45) shouldBe true
        }
    })
