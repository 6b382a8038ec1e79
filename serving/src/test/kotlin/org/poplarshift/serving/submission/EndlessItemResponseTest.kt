package org.poplarshift.serving.submission

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a batch item that is never listed because a worker answers it with bytes without end, and against
 * output of such a worker in the result.
 */
class EndlessItemResponseTest :
    FunSpec({
        val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        fun chunk(text: String) = Integer.toHexString(text.length) + "\r\n" + text + "\r\n"
        val text = "x".repeat(1_000)
        val soundResponse = head + chunk("id: 1\ndata: one\n\nid: 2\ndata: two\n\n") + "0\r\n\r\n"

        data class Case(val name: String, val repeated: String, val pauseMillis: Long = 0, val start: String = head)
        listOf(
            Case("lines of text and blank lines", chunk("$text\n\n"), pauseMillis = 1),
            Case("comments", chunk(": $text\n\n"), pauseMillis = 100),
            Case("one event again and again", chunk("id: 1\ndata: $text\n\n")),
            Case("one event again and again, slowly", chunk("id: 1\ndata: x\n\n"), pauseMillis = 200),
            Case("events without ids", chunk("data: $text\n\n")),
            Case("events without ids, fast and small", chunk("data: x\n\n".repeat(1_000))),
            Case("a single event", chunk(text)),
            Case("a header", text, start = "HTTP/1.1 200 OK\r\nId: ID\r\nX: "),
        ).forEach { case ->
            test("an item runs at another worker while the first one sends ${case.name} without end") {
                val fleet = TestFleet()
                try {
                    val endless = fleet.startEndlessWorker("endless", case.start, case.repeated, case.pauseMillis)
                    fleet.publishConfiguration()
                    val node = fleet.start("a")
                    eventually(5.seconds) {
                        fleet.sendRequest(
                            node.callersAddress,
                            HttpMethod.POST,
                            "/batch/s",
                            "item",
                        ).statusCode() shouldBe
                            202
                    }
                    eventually(5.seconds) { fleet.onEventLoop { endless.openConnections } shouldBeGreaterThan 0 }
                    fleet.startWorker("sound", soundResponse, soundResponse)
                    eventually(ITEM_LIMIT) {
                        val results = fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                        results.body().coAwait().toString().replace("\n", "|") shouldBe "item true one|two"
                    }
                    eventually(3.seconds) { fleet.onEventLoop { endless.openConnections } shouldBe 0 }
                    withClue("bytes sent") { endless.sentBytes shouldBeLessThan MAXIMUM_SENT_BYTES }
                } finally {
                    fleet.close()
                }
            }
        }

        test("an item whose only worker sends bytes without end is given up when its time is up") {
            val fleet = TestFleet()
            try {
                fleet.startEndlessWorker("endless", head, chunk("$text\n\n"), pauseMillis = 10)
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) {
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", "item").statusCode() shouldBe
                        202
                }
                eventually(ABANDON_TIME + 3.seconds) {
                    val results = fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s")
                    results.body().coAwait().toString() shouldBe "item false "
                }
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        // The users' rule: when all other work has ended, an item with room at its workers is listed within 5 s. The
        // worker that does not respond is recognised within 4 s.
        val ITEM_LIMIT = 9.seconds

        // The time after which the items of the fleet's batch route may be given up.
        val ABANDON_TIME = 20.seconds

        // Several attempts with the largest output of an item, and what the sockets buffer.
        const val MAXIMUM_SENT_BYTES = 64L * 1024 * 1024
    }
}
