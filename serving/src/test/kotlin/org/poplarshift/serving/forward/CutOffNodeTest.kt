package org.poplarshift.serving.forward

import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawWorker
import org.poplarshift.serving.fixture.TestFleet
import org.poplarshift.serving.fixture.WorkerLinkFault
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against refused requests at a node that reaches no worker while other nodes do. */
class CutOffNodeTest :
    FunSpec({
        class PartitionedFleet {
            val fleet = TestFleet()
            val workers = ArrayList<RawWorker>()
            val nodes = ArrayList<TestFleet.Node>()
            var requests = 0
                private set

            suspend fun start(count: Int, respond: (RawRequest) -> List<RawStep>) {
                repeat(WORKERS) { workers += fleet.startRawWorker("w$it", "service", slots = 16, respond = respond) }
                fleet.publishConfiguration()
                repeat(count) {
                    nodes +=
                        fleet.start("n$it", ownsBatch = it == 0, zone = if (it == 1) "there" else "here")
                }
                for (node in nodes) {
                    eventually(10.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                }
                delay(MEMBERS_MILLIS)
                repeat(WARM_UP) { send(nodes[0], "/safe/x").status shouldBe 200 }
            }

            suspend fun send(node: TestFleet.Node, path: String): TestFleet.CallerResponse =
                fleet.exchange(node.callersAddress, path, "r${requests++}")

            suspend fun cutOff(count: Int, fault: WorkerLinkFault) =
                fleet.onEventLoop { nodes.take(count).forEach { it.cutOffFromWorkers(workers, fault) } }

            /** Waits until requests at the node 0 are served, within the time that callers grant it. */
            suspend fun awaitService(path: String) = eventually(3.seconds) {
                coroutineScope {
                    val requests = List(3) { async { withTimeoutOrNull(PATIENCE_MILLIS) { send(nodes[0], path) } } }
                    requests.awaitAll().forEach { it?.status shouldBe 200 }
                }
            }

            fun runs(path: String): List<RawRequest> = workers.flatMap { it.requests }.filter { it.path == path }
        }

        suspend fun withFleet(
            nodes: Int,
            respond: (RawRequest) -> List<RawStep> = { listOf(RawStep.Write(RawResponses.sound(it))) },
            test: suspend PartitionedFleet.() -> Unit,
        ) {
            val partitioned = PartitionedFleet()
            try {
                partitioned.start(nodes, respond)
                partitioned.test()
            } finally {
                partitioned.fleet.close()
            }
        }

        data class Case(val fault: WorkerLinkFault, val path: String, val nodes: Int = 3, val cutOff: Int = 1)
        val cases = WorkerLinkFault.entries.flatMap { fault ->
            listOf("/safe/x", "/unsafe/safe/x", "/stream/x").map { Case(fault, it) }
        } + Case(WorkerLinkFault.HANGING, "/stream/x", nodes = 5, cutOff = 4)
        cases.forEach { case ->
            test(
                "${case.cutOff} of ${case.nodes} nodes serve ${case.path} with ${case.fault} connections to all workers",
            ) {
                withFleet(case.nodes) {
                    cutOff(case.cutOff, case.fault)
                    awaitService(case.path)
                    val first = requests
                    repeat(REQUESTS) { send(nodes[0], case.path).status shouldBe 200 }
                    val sent = List(REQUESTS) { "r${first + it}" }
                    runs(case.path).map { it.id }.filter { it in sent } shouldContainExactlyInAnyOrder sent
                    fleet.onEventLoop { nodes.forEach { it.reconnectToWorkers() } }
                    eventually(3.seconds) { nodes[0].reachesWorkersDirectly shouldBe true }
                    send(nodes[0], case.path).status shouldBe 200
                    eventually(3.seconds) { nodes.sumOf { it.relaysCarried } shouldBe 0 }
                }
            }
        }

        test("items of a node that is cut off from all workers are completed") {
            withFleet(nodes = 3) {
                cutOff(1, WorkerLinkFault.HANGING)
                fleet.exchange(nodes[0].callersAddress, "/batch/s", "s", "one\ntwo").status shouldBe 202
                eventually(10.seconds) {
                    val page = fleet.sendRequest(nodes[0].callersAddress, HttpMethod.GET, "/results/s").body().coAwait()
                    Regex("(one|two) true").findAll("$page").count() shouldBe 2
                }
            }
        }

        test("a request at nodes that are all cut off is refused at once and reaches no worker") {
            withFleet(nodes = 3) {
                cutOff(3, WorkerLinkFault.RESET)
                eventually(3.seconds) { nodes.forEach { send(it, "/safe/x").status shouldBe 503 } }
                val started = System.currentTimeMillis()
                send(nodes[0], "/safe/x").status shouldBe 503
                (System.currentTimeMillis() - started).toInt() shouldBeLessThan 1_000
                runs("/safe/x").size shouldBe WARM_UP
            }
        }

        test("a worker that is silent for a second is no reason to ask other nodes") {
            val silent = { request: RawRequest ->
                listOf(
                    RawStep.Pause(
                        if (request.path ==
                            "/stream/x"
                        ) {
                            1_200
                        } else {
                            1
                        },
                    ),
                    RawStep.Write(RawResponses.sound(request)),
                )
            }
            withFleet(nodes = 2, silent) {
                repeat(2) { send(nodes[0], "/stream/x") }
                continually(500.milliseconds) { nodes[0].reachesWorkersDirectly shouldBe true }
                nodes[0].relaysRequested shouldBe 0
            }
        }

        test("the crash of all workers but one is no reason to ask other nodes") {
            withFleet(nodes = 2) {
                fleet.onEventLoop { workers.drop(1).forEach { it.crash() } }
                eventually(3.seconds) { repeat(REQUESTS) { send(nodes[0], "/safe/x").status shouldBe 200 } }
                nodes[0].relaysRequested shouldBe 0
            }
        }

        data class End(val name: String, val framing: String, val kill: Boolean, val isComplete: Boolean)
        listOf(
            End("closes its connection", "", kill = false, isComplete = true),
            End(
                "is followed by the kill of the relaying node",
                "Content-Length: 100\r\n",
                kill = true,
                isComplete = false,
            ),
        ).forEach { end ->
            test("a relayed response with '${end.framing.trim()}' that ${end.name} is complete: ${end.isComplete}") {
                val respond = { request: RawRequest ->
                    if (request.path != "/unsafe/safe/x") {
                        listOf(RawStep.Write(RawResponses.sound(request)))
                    } else {
                        val head = RawResponses.head(request, more = RawResponses.STAMP + end.framing) + "good"
                        listOf(RawStep.Write(head), RawStep.Pause(RESPONSE_MILLIS), RawStep.Close)
                    }
                }
                withFleet(nodes = 2, respond) {
                    cutOff(1, WorkerLinkFault.RESET)
                    awaitService("/safe/x")
                    coroutineScope {
                        val response = async { send(nodes[0], "/unsafe/safe/x") }
                        delay(RESPONSE_MILLIS / 2)
                        if (end.kill) fleet.onEventLoop { nodes[1].kill() }
                        (response.await().status == 200) shouldBe end.isComplete
                    }
                }
            }
        }

        listOf(
            "before its head" to { request: RawRequest ->
                listOf(RawStep.Pause(SILENT_MILLIS), RawStep.Write(RawResponses.sound(request)))
            },
            "before the end of its connection" to { request: RawRequest ->
                val head = RawResponses.head(request, more = RawResponses.STAMP) + "good "
                listOf(RawStep.Write(head), RawStep.Pause(SILENT_MILLIS), RawStep.Write(request.id), RawStep.Close)
            },
        ).forEach { (name, steps) ->
            test("a response that is silent for a while $name is whole although the relaying node stops") {
                val respond = { request: RawRequest ->
                    if (request.path == "/unsafe/safe/x") {
                        steps(request)
                    } else {
                        listOf(RawStep.Write(RawResponses.sound(request)))
                    }
                }
                withFleet(nodes = 2, respond) {
                    cutOff(1, WorkerLinkFault.RESET)
                    awaitService("/safe/x")
                    coroutineScope {
                        val id = "r$requests"
                        val response = async { send(nodes[0], "/unsafe/safe/x") }
                        delay(RESPONSE_MILLIS / 2)
                        val stop = async { fleet.onEventLoop { nodes[1].node.stop() } }
                        response.await().body shouldBe RawResponses.soundBody(id, isPlain = true)
                        eventually(1.seconds) { nodes[1].relaysCarried shouldBe 0 }
                        stop.cancel()
                    }
                }
            }
        }

        test("a draining worker gets no relayed request") {
            withFleet(nodes = 2) {
                cutOff(1, WorkerLinkFault.RESET)
                awaitService("/safe/x")
                fleet.drain("w0")
                delay(REGISTRY_MILLIS)
                val before = workers[0].requests.size
                repeat(REQUESTS) { send(nodes[0], "/safe/x").status shouldBe 200 }
                workers[0].requests.size shouldBe before
            }
        }
    }) {
    private companion object {
        const val WORKERS = 5
        const val REQUESTS = 20
        const val WARM_UP = 10

        // Longer than a request takes, shorter than callers wait.
        const val PATIENCE_MILLIS = 800L

        // Long enough for the nodes to know each other.
        const val MEMBERS_MILLIS = 1_500L
        const val REGISTRY_MILLIS = 1_000L
        const val RESPONSE_MILLIS = 600L

        // Longer than a worker is usually silent.
        const val SILENT_MILLIS = 1_700L
    }
}
