package org.poplarshift.serving.scheduling

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a worker that gets more requests from several nodes than the rate that it states in its responses, also
 * while the log does not respond and the nodes call it through each other.
 */
class RateLimitedWorkerTest :
    FunSpec({
        suspend fun withNodes(
            fleet: TestFleet,
            names: List<String> = listOf("a", "b"),
            block: suspend (List<TestFleet.Node>) -> Unit,
        ) = try {
            fleet.publishConfiguration()
            val nodes = names.map { fleet.start(it) }
            nodes.forEach { node ->
                eventually(5.seconds) {
                    fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                }
            }
            block(nodes)
        } finally {
            fleet.close()
        }

        suspend fun TestFleet.send(nodes: List<TestFleet.Node>, requests: Int, intervalMillis: Long) =
            repeat(requests) { number ->
                val node = nodes[number % nodes.size]
                sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").statusCode() shouldBe 200
                delay(intervalMillis)
            }

        test("two nodes together keep to the rate limit of a worker and use the other worker") {
            val fleet = TestFleet()
            val limited = fleet.startRateLimitedWorker("limited", limit = "2.0")
            val other = fleet.startRateLimitedWorker("other", limit = null)
            withNodes(fleet) { nodes ->
                fleet.send(nodes, requests = 300, intervalMillis = 15)
                val end = (limited.arrivalMillis + other.arrivalMillis).max()
                limited.arrivalMillis.count { it > end - WINDOW_MILLIS } shouldBeLessThanOrEqual MAXIMUM_REQUESTS
            }
        }

        test("nodes whose log is silent still keep to the rate limit of a worker") {
            val fleet = TestFleet()
            val limited = fleet.startRateLimitedWorker("limited", limit = "1.0")
            withNodes(fleet, names = listOf("a", "b", "c")) { nodes ->
                fleet.send(nodes, requests = nodes.size, intervalMillis = 0)
                fleet.log.isSilent = true
                coroutineScope {
                    repeat(200) { number ->
                        val address = nodes[number % nodes.size].callersAddress
                        launch { fleet.sendRequest(address, HttpMethod.POST, "/safe/x") }
                        delay(50)
                    }
                }
                val arrivals = limited.arrivalMillis.drop(nodes.size)
                val most = arrivals.maxOf { first -> arrivals.count { it - first in 0 until WINDOW_MILLIS } }
                most shouldBeLessThanOrEqual MAXIMUM_REQUESTS_OF_ONE
            }
        }

        test("requests for which there is only a worker with a rate limit are served at that rate") {
            val fleet = TestFleet()
            val limited = fleet.startRateLimitedWorker("limited", limit = "10.0")
            withNodes(fleet) { nodes ->
                fleet.send(nodes, requests = 30, intervalMillis = 0)
                // Without the first ones, which are sent before the limit is known.
                val arrivals = limited.arrivalMillis.drop(5)
                (arrivals.last() - arrivals.first() in 1_800..4_000) shouldBe true
            }
        }
    }) {
    private companion object {
        // The users' rule: in 4 s at most one and a half times what the limit allows, and five requests.
        const val WINDOW_MILLIS = 4_000L
        const val MAXIMUM_REQUESTS = 17
        const val MAXIMUM_REQUESTS_OF_ONE = 11
    }
}
