package org.poplarshift.serving.scheduling

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against a scheduler's refusal that does not reach the caller or is not counted. */
class RefusedCallTest :
    FunSpec({
        test("a call that can't get a slot in time is refused with 503 and counted by its reason") {
            val fleet = TestFleet()
            try {
                fleet.configuration = fleet.configuration.copy(
                    routes = fleet.configuration.routes.map { it.copy(timeoutMillis = TIMEOUT_MILLIS) },
                )
                fleet.startRawWorker("w", "service", slots = 1) {
                    listOf(RawStep.Pause(RUN_MILLIS), RawStep.Write(RawResponses.sound(it)))
                }
                fleet.publishConfiguration()
                val node = fleet.start("a")
                suspend fun metrics() =
                    fleet.sendRequest(node.metricsAddress, HttpMethod.GET, "/metrics").body().coAwait().toString()
                suspend fun call() = fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").statusCode()
                eventually(5.seconds) {
                    fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                }
                repeat(EARLIER_RUNS) { call() shouldBe 200 }
                metrics() shouldContain "slot_refusals_total{reason=\"deadline\"} 0.0"
                eventually(10.seconds) {
                    coroutineScope { List(CALLERS) { async { call() } }.awaitAll() } shouldContain 503
                    metrics() shouldNotContain "slot_refusals_total{reason=\"deadline\"} 0.0"
                }
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val RUN_MILLIS = 200L
        const val EARLIER_RUNS = 12

        // A node waits for 0.4 of it, in which the worker completes one run.
        const val TIMEOUT_MILLIS = 600L

        // The number of connections that the client makes at the same time.
        const val CALLERS = 5
    }
}
