package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a task whose exception leaves the node without a part of it: after a failure of each task the node
 * serves requests, reads submissions and finishes items.
 */
class FailedTasksTest :
    FunSpec({
        suspend fun withFleet(block: suspend TestFleet.(TestFleet.Node) -> Unit) {
            val fleet = TestFleet()
            try {
                fleet.startRawWorker("w", "service", slots = 4) { listOf(RawStep.Write(RawResponses.sound(it))) }
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) { fleet.call(node, HttpMethod.POST, "/safe/x") shouldBe 200 }
                fleet.block(node)
            } finally {
                fleet.close()
            }
        }

        class Case(val task: String, val plan: suspend TestFleet.(TestFleet.Node) -> Unit)
        listOf(
            Case("follower of configuration") { planned.failingCalls += "read configuration" },
            Case("follower of workers") { planned.failingCalls += "read workers" },
            Case("follower of members") { planned.failingCalls += "read members" },
            Case("follower of submissions 0") { planned.failingCalls += "read submissions" },
            Case("registry") {
                planned.failingCalls += "clock WorkerRegistry.run"
                leaveExpiredWorker()
            },
            Case("maintenance") { planned.failingCalls += "clock ServingNode.runMaintenance" },
            Case("schedulers") { planned.failingCalls += "clock SchedulerHost.run" },
            Case("dispatcher") { planned.failingCalls += "clock FleetDispatcher.run" },
            Case("batch membership") { planned.failingCalls += "join" },
            Case("batch items") { planned.failingCalls += "clock BatchRunner.run" },
            Case("item run") { node ->
                call(node, HttpMethod.POST, "/batch/first") shouldBe 202
                planned.failingCalls += "append submissions"
            },
            Case("scheduler connection") { addUnusableMember("here") },
            Case("capacity announcement") { addUnusableMember("there") },
        ).forEach { case ->
            test("a node serves, reads and finishes items after its task '${case.task}' has failed") {
                withFleet { node ->
                    case.plan(this, node)
                    eventually(FAILURE_SECONDS.seconds) {
                        call(node, HttpMethod.POST, "/safe/x") shouldBe 200
                        node.failuresOf(case.task) shouldBeGreaterThanOrEqual 1
                    }
                    finishesItem(node)
                }
            }
        }

        test("a node serves and finishes items after its task 'members' has failed at its start") {
            withFleet {
                planned.failingCalls += "append members"
                val other = start("b")
                eventually(5.seconds) { other.failuresOf("members") shouldBe 1 }
                finishesItem(other)
            }
        }

        test("a node ends its shutdown although its hand-over has failed") {
            withFleet { node ->
                planned.failingCalls += "leave"
                onEventLoop { node.node.stop() }
                node.failuresOf("hand-over") shouldBe 1
            }
        }
    }) {
    private companion object {
        // Some parts of the maintenance run every 10 s.
        const val FAILURE_SECONDS = 15

        suspend fun TestFleet.call(node: TestFleet.Node, method: HttpMethod, path: String): Int =
            sendRequest(node.callersAddress, method, path, "item").statusCode()

        suspend fun TestFleet.finishesItem(node: TestFleet.Node) {
            eventually(5.seconds) { call(node, HttpMethod.POST, "/safe/x") shouldBe 200 }
            eventually(5.seconds) { call(node, HttpMethod.POST, "/batch/last") shouldBe 202 }
            eventually(10.seconds) {
                val results = sendRequest(node.callersAddress, HttpMethod.GET, "/results/last")
                results.body().coAwait().toString().startsWith("item true") shouldBe true
            }
        }

        /** Leaves an expired worker in the registry for some time, because reads have failed shortly before. */
        suspend fun TestFleet.leaveExpiredWorker() {
            register("gone", "127.0.0.1:1", service = "other")
            delay(OUTAGE_MILLIS)
            log.isDown = true
            delay(OUTAGE_MILLIS)
            log.isDown = false
            log.append("workers", 0, listOf(KeyedValue("gone", ByteArray(0))))
        }

        /** Adds a node whose address can't be parsed and that is preferred because of its speed. */
        suspend fun TestFleet.addUnusableMember(zone: String) {
            val record = """{"name":"odd","zone":"$zone","peerAddress":"127.0.0.1:x","speed":100.0}"""
            log.append("members", 0, listOf(KeyedValue("odd", record.encodeToByteArray())))
        }

        const val OUTAGE_MILLIS = 1_500L
    }
}
