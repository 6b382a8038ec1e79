package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against the parts of a node that work alone and not together: start, a request, a submission, the end. */
class ServingNodeTest :
    FunSpec({
        val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\n"
        val plain = head + "Content-Length: 4\r\n\r\ngood"
        fun stream(text: String) = head + "Transfer-Encoding: chunked\r\n\r\n" +
            Integer.toHexString(text.length) + "\r\n" + text + "\r\n0\r\n\r\n"
        val item = stream("id: 1\ndata: one\n\nid: 2\ndata: two\n\n")

        suspend fun withFleet(use: suspend (TestFleet) -> Unit) {
            val fleet = TestFleet()
            try {
                use(fleet)
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

        test("a node without a configuration refuses with 503, not with 404, and is not ready") {
            withFleet { fleet ->
                val node = fleet.start("a")
                fleet.status(node.callersAddress, "/safe/x") shouldBe 503
                fleet.status(node.readinessAddress, "/ready") shouldBe 503
                fleet.startWorker("w", plain)
                fleet.publishConfiguration()
                fleet.awaitReady(node)
                fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/safe/x").body().coAwait().toString() shouldBe
                    "good"
                fleet.status(node.callersAddress, "/unknown/x") shouldBe 404
            }
        }

        data class Case(val name: String, val owners: Int, val runs: Int)
        listOf(
            Case("a submission runs once and is read at another node as well", owners = 1, runs = 2),
            Case("two nodes that both believe to own a partition list each result once", owners = 2, runs = 4),
        ).forEach { case ->
            test(case.name) {
                withFleet { fleet ->
                    val worker = fleet.startWorker("w", item, item, item, item)
                    // With two owners no result is listed before both have begun to run all items.
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

        test("while the log is down submissions are refused and unknown ones are not said to be missing") {
            withFleet { fleet ->
                fleet.startWorker("w", item)
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

        test("a node that is to end stops being ready and answers the requests that it has") {
            withFleet { fleet ->
                fleet.startWorker("w", plain, plain)
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
    })
