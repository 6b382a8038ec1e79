package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a worker that sends bytes without end, which would use up the memory of a node or keep a caller waiting
 * past the timeout of its route.
 */
class EndlessResponseTest :
    FunSpec({
        val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\n"
        val chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n"
        val kilobyte = "x".repeat(1_024)
        val chunk = "400\r\n$kilobyte\r\n"

        data class Case(
            val name: String,
            val start: String,
            val repeated: String,
            val path: String = "/safe/x",
            val pauseMillis: Long = 0,
            val isComplete: Boolean = false,
        )
        val completeResponse = head + "Content-Length: 4\r\n\r\ngood"
        listOf(
            Case("a plain body in chunks", chunkedHead, chunk),
            Case("a plain body without a length", head + "\r\n", kilobyte),
            Case("a plain body, slowly", chunkedHead, "1\r\nx\r\n", pauseMillis = 50),
            Case("one event", chunkedHead, chunk, path = "/stream/x"),
            Case("one event, slowly", chunkedHead, "1\r\nx\r\n", path = "/stream/x", pauseMillis = 50),
            Case("the body of an error", chunkedHead.replace("200 OK", "500 Error"), chunk, path = "/stream/x"),
            Case("the body of a refusal", chunkedHead.replace("200 OK", "503 Full\r\nNot-Run: 1"), chunk),
            Case("a header", head + "X: ", kilobyte),
            Case("headers", head, "X: x\r\n"),
            Case("headers, slowly", head, "X: x\r\n", pauseMillis = 50),
            Case("interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Case("a chunk extension", chunkedHead + "1;", kilobyte),
            Case("a trailer", chunkedHead + "0\r\n", "X: x\r\n"),
            Case("no response", "", kilobyte),
            Case("bytes after a complete response", completeResponse, kilobyte, isComplete = true),
            Case("lines after a complete response", completeResponse, "$kilobyte\r\n\r\n", isComplete = true),
            Case("complete responses", completeResponse, completeResponse, isComplete = true),
        ).forEach { case ->
            test("a worker that sends ${case.name} without end is closed, and its caller gets an error in time") {
                val fleet = TestFleet()
                try {
                    val worker = fleet.startEndlessWorker("w", case.start, case.repeated, case.pauseMillis)
                    fleet.publishConfiguration()
                    val node = fleet.start("a")
                    eventually(5.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                    val startMillis = System.currentTimeMillis()
                    val status = runCatching {
                        fleet.sendRequest(node.callersAddress, HttpMethod.POST, case.path).statusCode()
                    }.getOrNull()
                    // A stream that has begun can only be broken off.
                    if (case.isComplete) {
                        status shouldBe 200
                    } else if (status != null) {
                        status shouldBeGreaterThanOrEqual 500
                    }
                    val takenMillis = System.currentTimeMillis() - startMillis
                    withClue("time of the response") { takenMillis shouldBeLessThan ROUTE_TIMEOUT_MILLIS + 500 }
                    eventually(3.seconds) { fleet.onEventLoop { worker.openConnections } shouldBe 0 }
                    withClue("bytes sent") { worker.sentBytes shouldBeLessThan MAXIMUM_SENT_BYTES }
                } finally {
                    fleet.close()
                }
            }
        }
    }) {
    private companion object {
        const val ROUTE_TIMEOUT_MILLIS = 5_000L

        // Two attempts with the largest body that a node accepts, and what the sockets buffer.
        const val MAXIMUM_SENT_BYTES = 64L * 1024 * 1024
    }
}
