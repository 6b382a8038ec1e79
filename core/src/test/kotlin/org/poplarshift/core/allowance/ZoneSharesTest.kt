package org.poplarshift.core.allowance

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

/** Guards against shares that sum to more than the limit, or that can't admit a single request. */
class ZoneSharesTest :
    FunSpec({
        data class Case(val zones: Int, val burst: Double, val holders: Int, val nodeShares: List<Double>)
        listOf(
            Case(zones = 1, burst = 3.0, holders = 1, nodeShares = listOf(1.0)),
            Case(zones = 1, burst = 4.0, holders = 1, nodeShares = listOf(0.75, 0.25)),
            Case(zones = 2, burst = 5.0, holders = 1, nodeShares = listOf(0.75, 0.25)),
            Case(zones = 2, burst = 28.0, holders = 2, nodeShares = listOf(0.375, 0.125)),
            Case(zones = 4, burst = 0.0, holders = 1, nodeShares = listOf(1.0)),
            Case(zones = 4, burst = 5.0, holders = 1, nodeShares = listOf(1.0)),
            Case(zones = 4, burst = 28.0, holders = 4, nodeShares = listOf(0.25)),
            Case(zones = 8, burst = 63.0, holders = 8, nodeShares = listOf(0.125)),
        ).forEach { case ->
            test("a limit with burst ${case.burst} in ${case.zones} zones is held in whole tokens by ${case.holders}") {
                val zones = List(case.zones) { "zone-$it" }
                val holders = ZoneShares.holders(zones, "org", case.burst)
                holders.size shouldBe case.holders
                val shares = (0..2).map { ZoneShares.ofNode(it, zones.size, holders.size, case.burst) }
                shares shouldBe case.nodeShares + List(3 - case.nodeShares.size) { 0.0 }
                shares.sum() * holders.size shouldBe (1.0 plusOrMinus 1e-9)
                shares.filter { it > 0 }.forEach {
                    TokenBucketShare.capacity(case.burst, it) shouldBeGreaterThanOrEqual
                        1.0
                }
            }
        }

        test("the holders do not depend on the order of the zones, and small organisations use different zones") {
            val zones = List(4) { "zone-$it" }
            val used = (1..40).map { ZoneShares.holders(zones, "org-$it", 2.0).single() }
            used.toSet() shouldContainExactlyInAnyOrder zones
            (1..40).map { ZoneShares.holders(zones.reversed(), "org-$it", 2.0).single() } shouldBe used
        }

        data class Step(val millis: Long, val observed: Int?, val settled: Int?)
        listOf(
            "a node that joins has its place after the others have read it" to
                listOf(Step(0, 0, null), Step(1_999, 0, null), Step(2_000, 0, 0)),
            "a node that is replaced gives its place up at once" to
                listOf(Step(0, 0, null), Step(3_000, 0, 0), Step(3_001, 1, 1), Step(3_002, 0, 1), Step(5_002, 0, 0)),
            "a node that flaps does not save up time" to
                listOf(Step(0, 0, null), Step(1_500, 2, null), Step(2_500, 0, null), Step(4_000, 0, null)),
            "a node that gives up its share starts anew" to
                listOf(Step(0, 0, null), Step(3_000, 0, 0), Step(3_001, null, null), Step(4_000, 0, null)),
        ).forEach { (name, steps) ->
            test(name) {
                val rank = ShareRank()
                steps.forEach {
                    rank.onObserved(it.observed, it.millis)
                    rank.settled(it.millis) shouldBe it.settled
                }
            }
        }
    })
