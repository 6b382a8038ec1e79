package org.poplarshift.serving.submission

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against more item runs than a node's limit when a second service gets items, and against one organisation
 * whose items take all places of its service.
 */
class BatchRunnerTest :
    FunSpec({
        fun itemResponse(request: RawRequest, events: Int, pauseMillis: Long): List<RawStep> {
            val head = RawResponses.head(request, more = RawResponses.STAMP + RawResponses.CHUNKED)
            val paced = (1..events).flatMap { number ->
                val event = RawResponses.chunk(RawResponses.event(number, request.id))
                listOf(RawStep.Write(event), RawStep.Pause(pauseMillis))
            }
            return listOf(RawStep.Write(head)) + paced + RawStep.Write("0\r\n\r\n")
        }

        suspend fun TestFleet.submit(node: TestFleet.Node, path: String, items: Int, key: String = "key") =
            eventually(5.seconds) {
                val body = List(items) { "item-$it" }.joinToString("\n")
                sendRequest(node.callersAddress, HttpMethod.POST, path, body, key = key).statusCode() shouldBe 202
            }

        suspend fun TestFleet.results(node: TestFleet.Node, submission: String, key: String): Int =
            sendRequest(node.callersAddress, HttpMethod.GET, "/results/$submission", key = key)
                .body().coAwait().toString().lines().count { it.isNotEmpty() }

        test("the runs of a node stay within its limit when a second service gets items, which then get half of them") {
            val fleet = TestFleet()
            try {
                fleet.addRoute("/other/", "other")
                val first = fleet.startRawWorker("w1", "service", SLOTS) { itemResponse(it, LONG_EVENTS, 1_000) }
                val second = fleet.startRawWorker("w2", "other", SLOTS) { itemResponse(it, LONG_EVENTS, 1_000) }
                fleet.publishConfiguration()
                val node = fleet.start("a")
                fleet.submit(node, "/batch/s", ITEMS)
                eventually(5.seconds) { first.requests.size shouldBe RUN_LIMIT }
                fleet.submit(node, "/other/t", ITEMS)
                // No run of the first service has ended by then.
                delay(SETTLE_MILLIS)
                withClue("runs at both workers") { first.requests.size + second.requests.size shouldBe RUN_LIMIT }
                eventually(10.seconds) { second.requests.size shouldBeGreaterThanOrEqual RUN_LIMIT / 2 }
            } finally {
                fleet.close()
            }
        }

        test("the items of an organisation with few of them do not wait for those of one with many") {
            val fleet = TestFleet()
            try {
                fleet.addOrganisation("small", "small-key")
                fleet.startRawWorker("w", "service", slots = 4) { itemResponse(it, events = 1, pauseMillis = 300) }
                fleet.publishConfiguration()
                val node = fleet.start("a")
                fleet.submit(node, "/batch/many", ITEMS)
                eventually(5.seconds) { fleet.results(node, "many", "key") shouldBeGreaterThanOrEqual 1 }
                fleet.submit(node, "/batch/few", FEW_ITEMS, key = "small-key")
                eventually(10.seconds) { fleet.results(node, "few", "small-key") shouldBe FEW_ITEMS }
                withClue("results of the organisation with many items by then") {
                    fleet.results(node, "many", "key") shouldBeLessThan ITEMS / 2
                }
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val RUN_LIMIT = 96

        // More than one node runs at once.
        const val ITEMS = 100
        const val FEW_ITEMS = 4
        const val SLOTS = 200

        // The events come a second apart, so that a run takes longer than all of them need to start.
        const val LONG_EVENTS = 9
        const val SETTLE_MILLIS = 2_000L
    }
}
