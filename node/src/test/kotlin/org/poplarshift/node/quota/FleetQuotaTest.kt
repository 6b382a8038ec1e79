package org.poplarshift.node.quota

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RunningNode
import org.poplarshift.node.settings.QuotaMode
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.seconds

/** Guards against limits that each node enforces alone, and against slots that are lost or held twice. */
class FleetQuotaTest :
    FunSpec({
        test("three nodes together admit no more than rate and burst") {
            withFleet { fleet, nodes, key ->
                delay(BURST_REFILL_MILLIS)
                val startedNanos = System.nanoTime()
                val responses = withContext(Dispatchers.IO) {
                    (0 until REQUESTS).map { index -> async { nodes[index % nodes.size].complete(key) } }.awaitAll()
                }
                val statuses = responses.map { it.statusCode() }
                val seconds = (System.nanoTime() - startedNanos) / 1e9
                val admitted = statuses.count { it == 200 }
                println("fleet quota: $admitted of $REQUESTS admitted within $seconds s")
                admitted.toDouble() shouldBeLessThanOrEqualTo RATE * seconds + BURST
                admitted shouldBeGreaterThanOrEqualTo BURST.toInt() - 1
                withClue("errors by node: ${errorsByNode(responses, nodes.size)}") {
                    statuses.toSet() shouldContainExactlyInAnyOrder setOf(200, 429)
                }
            }
        }

        test("a node that shuts down transfers its slots to the others") {
            withFleet { _, nodes, _ ->
                nodes.first().node.shutdown()
                eventually(5.seconds) { slots(nodes.drop(1)) shouldBe SLOTS }
                slots(nodes.take(1)) shouldBe 0
            }
        }

        test("the nodes keep their slots while the log is unreachable for longer than the lease") {
            withFleet { _, nodes, _ ->
                nodes.forEach { it.log.isCutOff = true }
                val endNanos = System.nanoTime() + OUTAGE_MILLIS * 1_000_000
                while (System.nanoTime() < endNanos) {
                    slots(nodes) shouldBe SLOTS
                    delay(100)
                }
            }
        }
    }) {
    private companion object {
        const val SLOTS = 3
        const val RATE = 5.0
        const val BURST = 10.0
        const val REQUESTS = 60
        const val BURST_REFILL_MILLIS = 2_500L
        const val OUTAGE_MILLIS = 6_000L

        suspend fun withFleet(check: suspend (Fleet, List<RunningNode>, String) -> Unit) = Fleet().use { fleet ->
            val catalogue = Fleet.catalogue(listOf(fleet.worker()))
            val limitedOrganisations = catalogue.organisations.map { it.copy(ratePerSecond = RATE, burst = BURST) }
            fleet.publish(catalogue.copy(organisations = limitedOrganisations))
            val key = fleet.issueKey("office")
            val nodes = (1..3).map { fleet.node(vm = "node-$it", quotaMode = QuotaMode.FLEET) }
            eventually(15.seconds) { slots(nodes) shouldBe SLOTS }
            delay(CLAIM_RENEWAL_MILLIS)
            check(fleet, nodes, key)
        }

        /** The holders append their claims again after the last node joins, which adds it to the electorates. */
        const val CLAIM_RENEWAL_MILLIS = 2_500L

        fun errorsByNode(responses: List<HttpResponse<String>>, nodes: Int): Map<Int, Map<String, Int>> =
            responses.withIndex().filter { it.value.statusCode() != 200 }
                .groupBy({ it.index % nodes }, { it.value.body() })
                .mapValues { (_, bodies) -> bodies.groupingBy { it }.eachCount() }

        fun slots(nodes: List<RunningNode>): Int = nodes.sumOf { node ->
            node.node.ownership.ownedSlots.value.count { node.node.ownership.isHolding(it.slot) }
        }
    }
}
