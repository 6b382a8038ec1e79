package org.poplarshift.core.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.math.ceil
import kotlin.math.ln
import kotlin.random.Random

/**
 * Guards against gossip that keeps lost VMs in the membership, stale VM lists that hide live VMs, and updates that
 * spread too slowly.
 */
class MembershipViewTest :
    FunSpec({
        val settings = MembershipSettings(lostMillis = 8_000, forgetMillis = 60_000)

        fun member(name: String, heartbeat: Long = 1, state: MemberState = MemberState.LIVE) =
            Member(name, "$name-1", "thimi", "127.0.0.1:$name", heartbeat, state)

        fun view(name: String) = MembershipView(settings, member(name))

        fun exchange(from: MembershipView, to: MembershipView, nowMillis: Long) {
            val delta = to.deltaFor(from.digest(nowMillis), nowMillis)
            from.merge(delta, nowMillis)
            to.merge(from.entriesFor(delta.wanted, nowMillis), nowMillis)
        }

        data class Case(val name: String, val expected: VmCondition?, val events: MembershipView.() -> Unit)
        listOf(
            Case("no information about the VM", null) {},
            Case("in the VM list only", VmCondition.NO_HEARTBEAT) { onListed("2", "thimi", "a", isLeaving = false) },
            Case("in the VM list as leaving", VmCondition.LEAVING) { onListed("2", "thimi", "a", isLeaving = true) },
            Case("join record only", VmCondition.NO_HEARTBEAT) { onJoined(member("2", 0)) },
            Case("recent heartbeat", VmCondition.LIVE) { merge(MembershipDelta(listOf(member("2"))), 9_000) },
            Case("recent heartbeat with the state leaving", VmCondition.LEAVING) {
                merge(MembershipDelta(listOf(member("2", state = MemberState.LEAVING))), 9_000)
            },
            Case("recent heartbeat, in the VM list as leaving", VmCondition.LEAVING) {
                merge(MembershipDelta(listOf(member("2"))), 9_000)
                onListed("2", "thimi", "a", isLeaving = true)
            },
            Case("last heartbeat too old", VmCondition.LOST) {
                merge(MembershipDelta(listOf(member("2"))), 1_999)
            },
            Case("old heartbeat received again", VmCondition.LOST) {
                merge(MembershipDelta(listOf(member("2", 5))), 1_999)
                merge(MembershipDelta(listOf(member("2", 5))), 9_000)
            },
            Case("ended according to the log, received again by gossip", null) {
                onLeft("2-1")
                merge(MembershipDelta(listOf(member("2"))), 9_000)
            },
            Case("join record, removed from the VM list", null) {
                onJoined(member("2", 0))
                retainListed(setOf("3"))
            },
        ).forEach { case ->
            test("${case.name}: ${case.expected}") {
                view("1").apply(case.events).others(10_000).singleOrNull()?.condition shouldBe case.expected
            }
        }

        test("a crashed VM is lost at all other VMs while they continue to gossip") {
            val views = listOf("1", "2", "3").map { view(it) }
            (0L..20_000L step 1_000).forEach { now ->
                views.forEachIndexed { index, view ->
                    if (index != 2 || now <= 3_000) view.incrementHeartbeat(MemberState.LIVE, now)
                }
                if (now <= 3_000) exchange(views[2], views[0], now)
                exchange(views[0], views[1], now)
            }
            views.take(2).forEach { view ->
                view.others(20_000).first { it.vm == "3" }.condition shouldBe VmCondition.LOST
            }
        }

        // Push-pull gossip with one random peer per node informs n nodes in about log3(n) + ln(ln(n)) rounds. The bound
        // of 2 * log3(n) rounds leaves a margin.
        listOf(11, 90, 360).forEach { nodes ->
            test("updates reach all of $nodes nodes in a logarithmic number of rounds") {
                (1L..10L).forEach { seed ->
                    val random = Random(seed)
                    val views = (1..nodes).map { view("$it") }
                    var rounds = 0
                    while (views.any { it.others(0).size < nodes - 1 }) {
                        rounds++
                        views.forEach { view -> repeat(2) { exchange(view, views.random(random), 0) } }
                    }
                    withClue("seed $seed") {
                        rounds shouldBeLessThanOrEqual ceil(2 * ln(nodes.toDouble()) / ln(3.0)).toInt()
                    }
                }
            }
        }
    })
