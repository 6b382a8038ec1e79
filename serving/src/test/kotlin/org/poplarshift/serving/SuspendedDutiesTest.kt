package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a node that is ready or keeps its shares while a task fails again and again, and against one that does
 * not take part again afterwards.
 */
class SuspendedDutiesTest :
    FunSpec({
        data class Case(val call: String, val task: String, val readiness: Int, val hasShares: Boolean)
        listOf(
            Case("read workers", "follower of workers", readiness = 503, hasShares = false),
            Case("clock FleetDispatcher.run", "dispatcher", readiness = 503, hasShares = false),
            Case("clock BatchRunner.run", "batch items", readiness = 200, hasShares = false),
            Case("clock SchedulerHost.run", "schedulers", readiness = 200, hasShares = true),
        ).forEach { case ->
            test("a node whose task '${case.task}' fails answers ${case.readiness}, serves, and takes part again") {
                val fleet = TestFleet()
                try {
                    fleet.startRawWorker("w", "service", slots = 4) { listOf(RawStep.Write(RawResponses.sound(it))) }
                    fleet.publishConfiguration()
                    val node = fleet.start("a")
                    eventually(5.seconds) { fleet.status(node.readinessAddress, "/ready") shouldBe 200 }
                    eventually(5.seconds) { node.shares shouldBeGreaterThan 0 }
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").statusCode() shouldBe 200
                    fleet.planned.brokenCalls += case.call
                    eventually(FAILING_SECONDS.seconds) {
                        fleet.state(node, case.task) shouldContain "\"failing\":true"
                        fleet.status(node.readinessAddress, "/ready") shouldBe case.readiness
                        (node.shares > 0) shouldBe case.hasShares
                    }
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").statusCode() shouldBe 200
                    fleet.planned.brokenCalls.clear()
                    eventually(20.seconds) {
                        fleet.status(node.readinessAddress, "/ready") shouldBe 200
                        node.shares shouldBeGreaterThan 0
                        fleet.state(node, case.task) shouldContain "\"failing\":false"
                    }
                } finally {
                    fleet.close()
                }
            }
        }
    }) {
    private companion object {
        const val FAILING_SECONDS = 10

        suspend fun TestFleet.status(address: String, path: String) =
            sendRequest(address, HttpMethod.GET, path).statusCode()

        /** Returns what the node states about the task [name]. */
        suspend fun TestFleet.state(node: TestFleet.Node, name: String): String {
            val status = sendRequest(node.metricsAddress, HttpMethod.GET, "/status").body().coAwait().toString()
            return status.substringAfter("\"name\":\"$name\"").substringBefore("}")
        }
    }
}
