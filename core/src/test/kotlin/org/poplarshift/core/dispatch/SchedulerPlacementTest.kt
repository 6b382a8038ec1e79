package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/** Guards against nodes that disagree on the scheduler of a zone, and against one node that runs all schedulers. */
class SchedulerPlacementTest :
    FunSpec({
        fun candidates(speeds: List<Double>) =
            speeds.mapIndexed { index, speed -> SchedulerPlacement.Candidate("node-$index", "here", speed) }

        test("the order does not depend on the order of the members") {
            val all = candidates(List(19) { 1.0 })
            SchedulerPlacement.order(all.shuffled(), "here", "s") shouldBe SchedulerPlacement.order(all, "here", "s")
        }

        test("the fastest nodes come first, and nodes of other zones not at all") {
            val all = candidates(listOf(0.36, 1.5, 0.36)) + SchedulerPlacement.Candidate("far", "there", 9.0)
            SchedulerPlacement.order(all, "here", "s").first().node shouldBe "node-1"
            SchedulerPlacement.order(all, "here", "s").size shouldBe 3
        }

        test("the loss of a node leaves the order of the others unchanged") {
            val all = candidates(List(19) { 1.0 })
            val order = SchedulerPlacement.order(all, "here", "s")
            SchedulerPlacement.order(all - order.first(), "here", "s") shouldBe order.drop(1)
        }

        test("the schedulers of different services run on different nodes") {
            val all = candidates(List(19) { 1.0 })
            List(9) { SchedulerPlacement.order(all, "here", "service-$it").first() }.toSet().size shouldBeGreaterThan 4
        }
    })
