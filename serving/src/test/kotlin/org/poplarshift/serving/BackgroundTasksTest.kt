package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeout
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against a part of a node that ends with an exception while the node stays ready. */
class BackgroundTasksTest :
    FunSpec({
        listOf(
            IllegalStateException("x"),
            CancellationException("x"),
            StackOverflowError(),
            OutOfMemoryError("planned"),
        )
            .forEach { failure ->
                test("a task that fails with $failure is started again and counted") {
                    supervisorScope {
                        val failures = ArrayList<String>()
                        var starts = 0
                        val job = BackgroundTasks(this, MonotonicClock.SYSTEM) { failures += it }.launch("task") {
                            if (++starts < 3) throw failure
                            awaitCancellation()
                        }
                        eventually(5.seconds) { starts shouldBe 3 }
                        failures shouldBe listOf("task", "task")
                        job.cancelAndJoin()
                        starts shouldBe 3
                    }
                }
            }

        listOf(
            IllegalStateException("x"),
            CancellationException("x"),
            NotImplementedError(),
            OutOfMemoryError("planned"),
        )
            .forEach { failure ->
                test("whoever waits for a short-lived task learns that it has failed with $failure") {
                    supervisorScope {
                        val counted = ArrayList<String>()
                        val freed = ArrayList<Throwable>()
                        val tasks = BackgroundTasks(this, MonotonicClock.SYSTEM) { counted += it }
                        tasks.launchOnce("short", onFailed = { freed += it }) { throw failure }.await() shouldBe
                            TaskResult.Failed(failure)
                        counted shouldBe listOf("short")
                        freed shouldBe listOf(failure)
                    }
                }
            }

        test("a failure while what a short-lived task has held is freed is counted") {
            supervisorScope {
                val counted = ArrayList<String>()
                val tasks = BackgroundTasks(this, MonotonicClock.SYSTEM) { counted += it }
                tasks.launchOnce("short", onFailed = { error("second") }) { error("first") }.await()
                counted shouldBe listOf("short", "short")
            }
        }

        test("a short-lived task that returns or is cancelled has not failed") {
            supervisorScope {
                val counted = ArrayList<String>()
                val tasks = BackgroundTasks(this, MonotonicClock.SYSTEM) { counted += it }
                tasks.launchOnce("short") {}.await() shouldBe TaskResult.Completed
                tasks.launchOnce("short") { awaitCancellation() }.cancelAndJoin()
                counted shouldBe emptyList()
            }
        }

        test("a task whose own time limit has passed is started again") {
            supervisorScope {
                var starts = 0
                val job = BackgroundTasks(this, MonotonicClock.SYSTEM) {}.launch("task") {
                    if (++starts == 1) withTimeout(1) { awaitCancellation() }
                }
                job.join()
                starts shouldBe 2
            }
        }

        // Names of calls to the log and the consumer group as the fleet's fakes give them.
        listOf(
            "append members",
            "read submissions",
            "read workers",
            "read members",
            "read configuration",
            "join",
        ).forEach { call ->
            test("a node runs an item after its call '$call' has failed with an exception") {
                val fleet = TestFleet()
                try {
                    fleet.planned.failingCalls += call
                    val node = fleet.start("a")
                    eventually(5.seconds) { fleet.planned.failingCalls.isEmpty() shouldBe true }
                    fleet.startWorker("w", ITEM_RESPONSE)
                    fleet.publishConfiguration()
                    eventually(10.seconds) {
                        fleet.sendRequest(
                            node.callersAddress,
                            HttpMethod.POST,
                            "/batch/s",
                            "item",
                        ).statusCode() shouldBe
                            202
                    }
                    eventually(10.seconds) {
                        val results = fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                        results.body().coAwait().toString() shouldBe "item true one"
                    }
                } finally {
                    fleet.close()
                }
            }
        }
    }) {
    private companion object {
        const val ITEM_RESPONSE = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"
    }
}
