package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.fixture.TestFleet
import org.poplarshift.serving.log.ReadResult
import org.poplarshift.serving.stream.VersionRecordFormat
import kotlin.time.Duration.Companion.seconds

/** Guards against parts of a node that work alone but not together, from the start through requests to the shutdown. */
class ServingNodeTest :
    FunSpec({
        val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\n"
        val okResponse = head + "Content-Length: 4\r\n\r\ngood"
        val closingResponse = head + "Connection: close\r\nContent-Length: 4\r\n\r\ngoodCLOSE"
        fun stream(text: String) = head + "Transfer-Encoding: chunked\r\n\r\n" +
            Integer.toHexString(text.length) + "\r\n" + text + "\r\n0\r\n\r\n"
        val itemResponse = stream("id: 1\ndata: one\n\nid: 2\ndata: two\n\n")

        suspend fun withFleet(block: suspend (TestFleet) -> Unit) {
            val fleet = TestFleet()
            try {
                block(fleet)
            } finally {
                fleet.close()
            }
        }

        suspend fun TestFleet.status(address: String, path: String) =
            sendRequest(address, HttpMethod.GET, path).statusCode()

        suspend fun TestFleet.submit(node: TestFleet.Node, items: String) =
            sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", items).statusCode()

        suspend fun TestFleet.awaitReady(node: TestFleet.Node) =
            eventually(5.seconds) { status(node.readinessAddress, "/ready") shouldBe 200 }

        suspend fun TestFleet.results(node: TestFleet.Node) =
            sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                .body().coAwait().toString().replace("\n", "|")

        test("a node without a configuration responds with 503 instead of 404 and is not ready") {
            withFleet { fleet ->
                val node = fleet.start("a")
                fleet.status(node.callersAddress, "/safe/x") shouldBe 503
                fleet.status(node.readinessAddress, "/ready") shouldBe 503
                fleet.startWorker("w", okResponse)
                fleet.publishConfiguration()
                fleet.awaitReady(node)
                fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").body().coAwait().toString() shouldBe
                    "good"
                fleet.status(node.callersAddress, "/unknown/x") shouldBe 404
            }
        }

        // Without the record no stream can begin at the worker.
        test("a node records the software versions of the registered workers") {
            withFleet { fleet ->
                fleet.start("a")
                fleet.startWorker("w", okResponse)
                eventually(5.seconds) {
                    val read = fleet.onEventLoop { fleet.log.read("members", 0, from = 0, waitMillis = 0) }
                    val records = (read as ReadResult.Records).records
                    records.count { VersionRecordFormat.isVersionKey(it.key) } shouldBe 1
                }
            }
        }

        data class Case(val name: String, val owners: Int, val runs: Int)
        listOf(
            Case("a submission runs once and its results can be read at another node", owners = 1, runs = 2),
            Case("two nodes that both assume ownership of a partition list each result once", owners = 2, runs = 4),
        ).forEach { case ->
            test(case.name) {
                withFleet { fleet ->
                    val worker = fleet.startWorker("w", itemResponse, itemResponse, itemResponse, itemResponse)
                    // With two owners, responses are delayed until both owners have started all items.
                    worker.respondAfterRequests = case.runs
                    fleet.publishConfiguration()
                    val nodes = listOf(fleet.start("a"), fleet.start("b", ownsBatch = case.owners > 1))
                    nodes.forEach { fleet.awaitReady(it) }
                    eventually(5.seconds) {
                        fleet.submit(nodes[0], "first\nsecond") shouldBe 202
                    }
                    fleet.submit(nodes[1], "first\nsecond") shouldBe 202
                    eventually(10.seconds) {
                        val pages = nodes.map { fleet.results(it) }
                        pages.distinct().single().split("|").size shouldBe 4
                        pages.first().contains("first true one|two") shouldBe true
                        pages.first().contains("second true one|two") shouldBe true
                    }
                    worker.requests.size shouldBe case.runs
                }
            }
        }

        test("a node lists a result that another node has listed although its waiting read of the log misses it") {
            withFleet { fleet ->
                fleet.startWorker("w", itemResponse)
                fleet.publishConfiguration()
                val nodes = listOf(fleet.start("a"), fleet.start("b", ownsBatch = false))
                nodes.forEach { fleet.awaitReady(it) }
                fleet.log.missesRecords = true
                eventually(5.seconds) { fleet.submit(nodes[0], "first") shouldBe 202 }
                eventually(10.seconds) { fleet.results(nodes[0]) shouldBe "first true one|two" }
                fleet.results(nodes[1]) shouldBe "first true one|two"
            }
        }

        test(
            "a submission that another node has accepted is not refused by a node that has not read the tokens' release",
        ) {
            withFleet { fleet ->
                fleet.publishConfiguration()
                val nodes = listOf(fleet.start("a"), fleet.start("b", ownsBatch = false))
                val full = List(LIMIT_ITEMS) { "item-$it" }.joinToString("\n")
                eventually(5.seconds) { fleet.submit(nodes[0], full) shouldBe 202 }
                eventually(5.seconds) { fleet.status(nodes[1].callersAddress, "/results/s") shouldBe 200 }
                delay(READ_PAUSE_MILLIS)
                fleet.log.missesRecords = true
                val ended = fleet.sendRequest(nodes[0].callersAddress, HttpMethod.DELETE, "/results/s")
                ended.statusCode() shouldBe 200
                nodes.forEach { node ->
                    val response = fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/batch/next", "item")
                    response.statusCode() shouldBe 202
                }
            }
        }

        test("an item whose stream has no length or chunks and ends before its first event runs again") {
            withFleet { fleet ->
                fleet.startWorker("w", head + "\r\nCLOSE", itemResponse)
                fleet.publishConfiguration()
                val node = fleet.start("a")
                fleet.awaitReady(node)
                eventually(5.seconds) { fleet.submit(node, "first") shouldBe 202 }
                eventually(10.seconds) { fleet.results(node).contains("first true one|two") shouldBe true }
            }
        }

        listOf("127.0.0.1:99999", "127.0.0.1", "127.0.0.1:x").forEach { address ->
            test("a registered worker with the address $address does not fail the requests of callers") {
                withFleet { fleet ->
                    fleet.startWorker("w", closingResponse, closingResponse, closingResponse, closingResponse)
                    fleet.publishConfiguration()
                    val node = fleet.start("a")
                    fleet.awaitReady(node)
                    fleet.register("odd", address)
                    repeat(4) {
                        fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").statusCode() shouldBe 200
                        delay(READ_PAUSE_MILLIS)
                    }
                }
            }
        }

        test("a node follows the registry although one of its entries can't be decoded") {
            withFleet { fleet ->
                fleet.publishConfiguration()
                val node = fleet.start("a")
                // The fleet's decoder throws an exception for unknown workers.
                fleet.log.append("workers", 0, listOf(KeyedValue("unknown", byteArrayOf(1))))
                fleet.status(node.readinessAddress, "/ready") shouldBe 503
                fleet.startWorker("w", okResponse)
                fleet.awaitReady(node)
            }
        }

        test("data without an event id is not part of a result when the item runs again from its beginning") {
            withFleet { fleet ->
                val junk = "data: junk\n\n"
                val chunk = Integer.toHexString(junk.length) + "\r\n" + junk + "\r\n"
                fleet.startWorker("w", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "CLOSE", itemResponse)
                fleet.publishConfiguration()
                val node = fleet.start("a")
                fleet.awaitReady(node)
                eventually(5.seconds) { fleet.submit(node, "first") shouldBe 202 }
                eventually(10.seconds) { fleet.results(node) shouldBe "first true one|two" }
            }
        }

        test("items that were accepted before their route was moved to another service run there") {
            withFleet { fleet ->
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) { fleet.submit(node, "first\nsecond") shouldBe 202 }
                fleet.moveRoutes("other")
                fleet.startWorker("w", itemResponse, itemResponse, service = "other")
                eventually(10.seconds) { fleet.results(node).split("|").size shouldBe 4 }
            }
        }

        test("items of a service without workers do not stop those of another service") {
            withFleet { fleet ->
                fleet.addRoute("/dead/", "dead")
                fleet.publishConfiguration()
                val node = fleet.start("a")
                val many = List(LIMIT_ITEMS) { "item-$it" }.joinToString("\n")
                eventually(5.seconds) {
                    val response = fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/dead/d", many)
                    response.statusCode() shouldBe 202
                }
                // Longer than all of these items need to be tried once.
                delay(STARVATION_MILLIS)
                fleet.startWorker("w", itemResponse)
                fleet.submit(node, "first") shouldBe 202
                eventually(5.seconds) { fleet.results(node) shouldBe "first true one|two" }
            }
        }

        test("an item is not given up early because the time of day of its node jumps ahead") {
            withFleet { fleet ->
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) { fleet.submit(node, "first") shouldBe 202 }
                fleet.wallClockOffsetMillis = JUMP_MILLIS
                fleet.startWorker("w", itemResponse)
                eventually(10.seconds) { fleet.results(node) shouldBe "first true one|two" }
            }
        }

        test("while the log is unavailable submissions are refused and unknown ones are not reported as missing") {
            withFleet { fleet ->
                fleet.startWorker("w", itemResponse)
                fleet.publishConfiguration()
                val node = fleet.start("a")
                fleet.awaitReady(node)
                eventually(5.seconds) { fleet.status(node.callersAddress, "/results/none") shouldBe 404 }
                fleet.log.isDown = true
                fleet.submit(node, "first") shouldBe 503
                fleet.status(node.callersAddress, "/results/none") shouldBe 503
                fleet.log.isDown = false
                eventually(5.seconds) { fleet.status(node.callersAddress, "/results/s") shouldBe 404 }
            }
        }

        test("a node that is shutting down is not ready and still serves requests") {
            withFleet { fleet ->
                fleet.startWorker("w", okResponse, okResponse)
                fleet.publishConfiguration()
                val node = fleet.start("a")
                fleet.awaitReady(node)
                coroutineScope {
                    val ending = async { fleet.onEventLoop { node.node.stop() } }
                    eventually(5.seconds) { fleet.status(node.readinessAddress, "/ready") shouldBe 503 }
                    val response = fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x")
                    response.statusCode() shouldBe 200
                    response.getHeader("Connection") shouldBe "close"
                    ending.await()
                }
            }
        }
    }) {
    private companion object {
        // Beyond the time after which items may be given up.
        const val JUMP_MILLIS = 60_000L

        // Items whose tokens reach the limit of the batch route.
        const val LIMIT_ITEMS = 100

        const val STARVATION_MILLIS = 6_000L

        // Longer than the pause of a node after a read that returned records.
        const val READ_PAUSE_MILLIS = 600L
    }
}
