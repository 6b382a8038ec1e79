package org.poplarshift.serving.submission

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against an item whose run has failed with an exception and that runs again without a pause, or not at all. */
class FailedItemRunTest :
    FunSpec({
        test("an item whose runs fail runs again after growing delays, and is completed once they no longer fail") {
            val fleet = TestFleet()
            try {
                val worker = fleet.startRawWorker("w", "service", slots = 4) { request ->
                    listOf(RawStep.Write(RawResponses.sound(request)))
                }
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) {
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").statusCode() shouldBe 200
                }
                val requestsBefore = worker.requests.size
                fleet.failingSubmission(node)
                delay(FAILING_MILLIS)
                // At 0 s, 0.25 s, 0.75 s and 1.75 s, each up to 0.1 s later.
                worker.requests.size - requestsBefore shouldBeInRange 3..4
                node.failuresOf("item run") shouldBeInRange 3..4
                fleet.planned.brokenCalls.clear()
                eventually(10.seconds) {
                    val results = fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                    results.body().coAwait().toString().startsWith("item true") shouldBe true
                }
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val FAILING_MILLIS = 2_500L

        /** Submits an item whose results can't be written. */
        suspend fun TestFleet.failingSubmission(node: TestFleet.Node) {
            eventually(5.seconds) {
                sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", "item").statusCode() shouldBe 202
            }
            planned.brokenCalls += "append submissions"
        }
    }
}
