package org.poplarshift.serving.ratelimit

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against running nodes that admit an organisation at several coordinators without sharing its limit, and against
 * requests above the limit that reach a worker.
 */
class LimitedOrganisationTest :
    FunSpec({
        data class Case(val name: String, val zones: List<String>, val settings: Set<String>)
        listOf(
            Case("nodes of one zone", listOf("a", "a", "a"), setOf("a")),
            Case("nodes of three zones", listOf("a", "b", "c"), setOf("a", "b", "c")),
            Case("nodes of three zones that the settings do not name", listOf("a", "b", "c"), emptySet()),
        ).forEach { case ->
            test("${case.name} together keep to the limit of an organisation and serve it up to the limit") {
                val fleet = TestFleet()
                try {
                    val worker = fleet.startWorker("w", *Array(REQUESTS) { RESPONSE })
                    fleet.addOrganisation("limited", "limited-key", RATE)
                    fleet.publishConfiguration()
                    val nodes = case.zones.mapIndexed { number, zone ->
                        fleet.start("n$number", zone = zone, zones = case.settings.associateWith { "region" })
                    }
                    nodes.forEach { node ->
                        eventually(5.seconds) {
                            fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                        }
                    }
                    // The shares settle, and the buckets fill.
                    delay(SETTLE_MILLIS)
                    val started = System.nanoTime()
                    val statuses = List(REQUESTS) { number ->
                        val address = nodes[number % nodes.size].callersAddress
                        fleet.sendRequest(address, HttpMethod.POST, "/safe/x", key = "limited-key").statusCode()
                    }
                    val seconds = (System.nanoTime() - started) / 1e9
                    val admitted = statuses.count { it == 200 }
                    statuses.toSet() shouldBe setOf(200, 429)
                    admitted shouldBeInRange (RATE - 1).toInt()..(RATE + RATE * seconds + 1).toInt()
                    worker.requests.size shouldBe admitted
                } finally {
                    fleet.close()
                }
            }
        }
    }) {
    private companion object {
        const val RESPONSE =
            "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ngoodCLOSE"
        const val RATE = 20.0
        const val REQUESTS = 120
        const val SETTLE_MILLIS = 6_000L
    }
}
