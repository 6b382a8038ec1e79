package org.poplarshift.serving.quarantine

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.CrashingWorker
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against requests that crash one worker after the other because of one part of their prompts. No two of these
 * requests are alike, they arrive at several nodes, and harmless requests have their other parts.
 */
class CrashingPromptPartTest :
    FunSpec({
        fun hasCrashingPart(request: String) = Regex("(?im)^part: crashing\\s*$").containsMatchIn(request)

        class Traffic(val fleet: TestFleet, val nodes: List<TestFleet.Node>, val workers: List<CrashingWorker>) {
            private var sent = 0

            val crashingRequests: Int
                get() = workers.sumOf { worker -> worker.requests.count { hasCrashingPart(it) } }

            suspend fun send(vararg parts: String): Int {
                val node = nodes[sent++ % nodes.size]
                val path = "/stream/$sent"
                return fleet.sendRequest(node.callersAddress, HttpMethod.POST, path, "body $sent", parts.toList())
                    .statusCode()
            }

            suspend fun sendHarmless() = send("system", "subject ${sent % 5}")

            suspend fun sendCrashing() = runCatching { send("system", "subject ${sent % 5}", "crashing") }
        }

        suspend fun withTraffic(block: suspend Traffic.() -> Unit) {
            val fleet = TestFleet()
            try {
                val workers =
                    List(WORKERS) { fleet.startCrashingWorker("w$it") { request -> hasCrashingPart(request) } }
                fleet.publishConfiguration()
                val nodes = listOf("a", "b").map { fleet.start(it) }
                nodes.forEach { node ->
                    eventually(5.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                }
                Traffic(fleet, nodes, workers).block()
            } finally {
                fleet.close()
            }
        }

        test("requests whose common prompt part crashes workers stop reaching workers, and harmless ones are served") {
            withTraffic {
                repeat(10) { sendHarmless() shouldBe 200 }
                repeat(CRASHES_BEFORE_LIMIT) {
                    sendCrashing()
                    repeat(2) { runCatching { sendHarmless() } }
                    delay(PAUSE_MILLIS)
                }
                repeat((SETTLING_MILLIS / PAUSE_MILLIS).toInt()) {
                    runCatching { sendHarmless() }
                    delay(PAUSE_MILLIS)
                }
                val before = crashingRequests
                val statuses = List(10) {
                    // Some nodes get only requests with the crashing part.
                    sendCrashing()
                    runCatching { sendHarmless() }.getOrNull()
                }
                crashingRequests - before shouldBeLessThanOrEqual MAXIMUM_LATER_REQUESTS
                statuses.count { it == 200 } shouldBe 10
            }
        }
    }) {
    private companion object {
        const val WORKERS = 6

        // The users' rule: at most three requests reach workers later than the settling time after the fifth crash.
        const val CRASHES_BEFORE_LIMIT = 5
        const val MAXIMUM_LATER_REQUESTS = 3
        const val SETTLING_MILLIS = 2_000L
        const val PAUSE_MILLIS = 100L
    }
}
