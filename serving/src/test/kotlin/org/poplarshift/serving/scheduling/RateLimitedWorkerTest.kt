package org.poplarshift.serving.scheduling

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against a worker that gets more requests from several nodes than the rate that it states in its responses. */
class RateLimitedWorkerTest :
    FunSpec({
        test("two nodes together keep to the rate limit of a worker and use the other worker") {
            val fleet = TestFleet()
            try {
                val limited = fleet.startRateLimitedWorker("limited", limit = "2.0")
                val other = fleet.startRateLimitedWorker("other", limit = null)
                fleet.publishConfiguration()
                val nodes = listOf("a", "b").map { fleet.start(it) }
                nodes.forEach { node ->
                    eventually(5.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                }
                repeat(REQUESTS) { number ->
                    val node = nodes[number % nodes.size]
                    val response = fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x")
                    response.statusCode() shouldBe 200
                    delay(REQUEST_INTERVAL_MILLIS)
                }
                val end = (limited.arrivalMillis + other.arrivalMillis).max()
                val recent = limited.arrivalMillis.count { it > end - WINDOW_MILLIS }
                recent shouldBeLessThanOrEqual MAXIMUM_REQUESTS
                recent shouldBeGreaterThan 0
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val REQUESTS = 300
        const val REQUEST_INTERVAL_MILLIS = 15L

        // The users' rule: in 4 s at most one and a half times what the limit allows, and five requests.
        const val WINDOW_MILLIS = 4_000L
        const val MAXIMUM_REQUESTS = 17
    }
}
