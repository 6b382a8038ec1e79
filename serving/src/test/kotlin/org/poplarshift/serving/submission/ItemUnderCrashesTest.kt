package org.poplarshift.serving.submission

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a batch item that is not placed again after several workers have crashed while they ran it. Items do not
 * crash workers by themselves, so the crashes say nothing about the item.
 */
class ItemUnderCrashesTest :
    FunSpec({
        test("an item under which many workers have crashed runs again as soon as a worker has room") {
            val fleet = TestFleet()
            try {
                var crashes = 0
                val workers = List(6) { fleet.startCrashingWorker("w$it") { ++crashes <= CRASHES } }
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) {
                    fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", "item").statusCode() shouldBe
                        202
                }
                eventually(10.seconds) { crashes shouldBeGreaterThan CRASHES }
                eventually(PLACEMENT_LIMIT) {
                    val results = fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                    results.body().coAwait().toString().replace("\n", "|") shouldBe "item true one|two"
                }
                workers.sumOf { it.requests.size } shouldBe CRASHES + 1
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val CRASHES = 5

        // The users' rule: no calm 5 s without a run while workers have room.
        val PLACEMENT_LIMIT = 5.seconds
    }
}
