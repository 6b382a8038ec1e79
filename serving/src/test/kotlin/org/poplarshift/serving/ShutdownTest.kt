package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that a node takes while it shuts down and that end without a response, among them requests
 * that may not be repeated.
 */
class ShutdownTest :
    FunSpec({
        // The shutdown of a node of the test fleet lasts for 6 s at most, and a request for 5 s.
        data class Case(val name: String, val startMillis: Long, val pauseMillis: Long, val status: Int, val sent: Int)
        listOf(
            Case(
                "that is still running when the shutdown ends gets an error",
                startMillis = 2_500,
                0,
                status = 504,
                sent = 1,
            ),
            Case(
                "that is complete too late to end before the shutdown is refused",
                startMillis = 2_500,
                1_000,
                503,
                sent = 0,
            ),
            Case("that is not complete when the shutdown ends is refused", startMillis = 2_500, 8_000, 503, sent = 0),
        ).forEach { case ->
            test("a request ${case.name}") {
                val fleet = TestFleet()
                try {
                    val worker = fleet.startWorker("silent").apply { respondAfterRequests = Int.MAX_VALUE }
                    fleet.publishConfiguration()
                    val node = fleet.start("a")
                    eventually(5.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                    coroutineScope {
                        val stopping = async { fleet.onEventLoop { node.node.stop() } }
                        delay(case.startMillis)
                        val call = async {
                            runCatching { fleet.sendSlowly(node.callersAddress, "/unsafe/x", case.pauseMillis) }
                        }
                        stopping.await()
                        // The process ends now.
                        val response = withTimeoutOrNull(RESPONSE_MILLIS) { call.await() }?.getOrNull()
                        response?.statusCode() shouldBe case.status
                        call.cancel()
                    }
                    worker.requests.size shouldBe case.sent
                } finally {
                    fleet.close()
                }
            }
        }
    }) {
    private companion object {
        // The response has been sent when the shutdown is complete.
        const val RESPONSE_MILLIS = 50L
    }
}
