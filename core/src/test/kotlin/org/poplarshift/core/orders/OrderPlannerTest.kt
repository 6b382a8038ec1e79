package org.poplarshift.core.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against orders for short peaks and against unloading artifacts that online requests need. */
class OrderPlannerTest :
    FunSpec({
        val a = Artifact("a")
        val b = Artifact("b")
        val settings = OrderSettings(coldStartMillis = 100, targetUtilisation = 1.0)

        fun worker(id: String, vararg artifacts: Artifact) =
            OrderedWorker(id, capacity = 8, desired = DesiredState(artifacts.toSet()))

        val workers = listOf(worker("w1", a), worker("w2", a), worker("w3", b))

        data class Case(
            val name: String,
            val onlineOfA: List<Double>,
            val onlineOfB: List<Double>,
            val batchOfB: List<Double>,
            val expected: OrderedWorker?,
        )
        val idle = List(11) { 0.0 }
        val high = List(11) { 16.0 }
        listOf(
            Case("no demand changes nothing", idle, idle, idle, null),
            Case("sustained online demand reassigns a surplus worker", idle, high, idle, worker("w1", b)),
            Case("sustained batch demand reassigns a surplus worker", idle, idle, high, worker("w1", b)),
            Case("a peak shorter than a cold start changes nothing", idle, listOf(0.0) + high.drop(1), idle, null),
            Case("demand over half a window changes nothing", idle, high.take(6), idle, null),
            Case("no worker changes while online requests need both", List(11) { 9.0 }, high, idle, null),
            Case(
                "no worker changes if online requests needed both in the window",
                listOf(9.0) + idle.drop(1),
                high,
                idle,
                null,
            ),
        ).forEach { case ->
            test("${case.name}: ${case.expected}") {
                val planner = OrderPlanner(settings)
                case.onlineOfA.forEachIndexed { index, online -> planner.onDemand(a, online, 0.0, index * 10L) }
                case.onlineOfB.forEachIndexed { index, online ->
                    planner.onDemand(b, online, case.batchOfB[index], index * 10L)
                }
                planner.next(workers, listOf(a, b), nowMillis = (case.onlineOfB.size - 1) * 10L) shouldBe case.expected
            }
        }

        test("the last worker of an artifact is never reassigned, and a worker without artifacts is preferred") {
            val planner = OrderPlanner(settings)
            (0L..10L).forEach { planner.onDemand(b, 16.0, 0.0, it * 10) }
            planner.next(listOf(worker("w1", a), worker("w3", b)), listOf(a, b), 100) shouldBe null
            planner.next(workers + worker("w4"), listOf(a, b), 100) shouldBe worker("w4", b)
        }
    })
