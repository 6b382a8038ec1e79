package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against nodes that disagree on the scheduler of a zone, and against an order that prefers some names. */
class SchedulerPlacementTest :
    FunSpec({
        fun candidates(speeds: List<Double>) =
            speeds.mapIndexed { index, speed -> SchedulerPlacement.Candidate("node-$index", "here", speed) }

        test("the order does not depend on the order of the members") {
            val all = candidates(List(19) { 1.0 })
            SchedulerPlacement.order(all.shuffled(), "here") shouldBe SchedulerPlacement.order(all, "here")
        }

        test("the fastest nodes come first, and nodes of other zones not at all") {
            val all = candidates(listOf(0.36, 1.5, 0.36)) + SchedulerPlacement.Candidate("far", "there", 9.0)
            SchedulerPlacement.order(all, "here").first().node shouldBe "node-1"
            SchedulerPlacement.order(all, "here").size shouldBe 3
        }

        test("the loss of a node leaves the order of the others unchanged") {
            val all = candidates(List(19) { 1.0 })
            val order = SchedulerPlacement.order(all, "here")
            SchedulerPlacement.order(all - order.first(), "here") shouldBe order.drop(1)
        }

        test("nodes of equal speed come first in some zone each, so that no name is preferred in all zones") {
            val zones = (1..40).map { "zone-$it" }
            val first = zones.map { zone ->
                val all = candidates(List(4) { 1.0 }).map { it.copy(zone = zone) }
                SchedulerPlacement.order(all, zone).first().node
            }
            first.toSet().size shouldBe 4
        }
    })
