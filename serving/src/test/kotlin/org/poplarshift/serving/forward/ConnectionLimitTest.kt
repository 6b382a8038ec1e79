package org.poplarshift.serving.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.LimitedWorker
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that are lost because the new connection that takes the place of a used one exceeds the limit of
 * the worker, which has not seen the end of the used one.
 */
class ConnectionLimitTest :
    FunSpec({
        listOf(1, 4).forEach { connections ->
            test(
                "a worker that answers twice and accepts $connections connections loses no request that may not be repeated",
            ) {
                val fleet = TestFleet()
                val worker = LimitedWorker(connections, stutteringId = "first").start()
                try {
                    fleet.onEventLoop { fleet.register("worker", worker.address, slots = connections) }
                    fleet.publishConfiguration()
                    val node = fleet.start("node")
                    eventually(10.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                    fleet.exchange(node.callersAddress, "/unsafe/x", "first").status shouldBe 200
                    delay(4 * LimitedWorker.LATE_MILLIS)
                    val statuses = coroutineScope {
                        List(connections) { caller ->
                            async {
                                List(REQUESTS) {
                                    fleet.exchange(node.callersAddress, "/unsafe/x", "$caller-$it").status
                                }
                            }
                        }.awaitAll().flatten()
                    }
                    statuses.groupingBy { it }.eachCount() shouldBe mapOf<Int?, Int>(200 to connections * REQUESTS)
                    worker.resets shouldBe 0
                } finally {
                    fleet.close()
                    worker.close()
                }
            }
        }
    }) {
    private companion object {
        const val REQUESTS = 100
    }
}
