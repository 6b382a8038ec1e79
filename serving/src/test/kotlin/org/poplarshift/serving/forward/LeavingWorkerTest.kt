package org.poplarshift.serving.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.ScriptedWorker
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against requests to a worker that has stated in a response that it leaves. */
class LeavingWorkerTest :
    FunSpec({
        fun head(status: String, more: String = "Stamp: 1\r\n") = "HTTP/1.1 $status\r\nId: ID\r\nLeaving: 1\r\n$more"
        val empty = "Content-Length: 0\r\n\r\n"
        val events = "id: 1\ndata: one\n\n"
        val stream = "Transfer-Encoding: chunked\r\n\r\n${Integer.toHexString(events.length)}\r\n$events\r\n0\r\n\r\n"
        val closing = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nConnection: close\r\n"
        val soundStream = closing + stream + "CLOSE"

        suspend fun TestFleet.startReady(): TestFleet.Node {
            publishConfiguration()
            val node = start("a")
            eventually(5.seconds) {
                sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
            }
            return node
        }

        suspend fun TestFleet.startSound(): ScriptedWorker =
            startWorker("sound", *Array(2 * REQUESTS) { soundStream }).also { delay(REGISTRY_MILLIS) }

        data class Case(val name: String, val response: String, val path: String = "/stream/x")
        listOf(
            Case("a plain response", head("200 OK") + empty, path = "/safe/x"),
            Case(
                "a plain response on a connection that is closed",
                closing + "Leaving: 1\r\n$empty",
                path = "/unsafe/x",
            ),
            Case("an error", head("500 Error") + empty, path = "/unsafe/x"),
            Case("a refusal with 503", head("503 Full", "Not-Run: 1\r\n") + empty),
            Case("a refusal with 429", head("429 Limit", "Not-Run: 1\r\n") + empty),
            Case("a refusal with 421", head("421 Other", "Not-Run: 1\r\n") + empty),
            Case("the head of a stream", head("200 OK") + stream),
            Case("the head of a stream of an item", head("200 OK") + stream, path = "/batch/s"),
        ).forEach { case ->
            test("a worker that states in ${case.name} that it leaves gets no other request") {
                val fleet = TestFleet()
                try {
                    val leaving = fleet.startWorker("leaving", *Array(REQUESTS + 2) { case.response })
                    val node = fleet.startReady()
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, case.path)
                    eventually(5.seconds) { leaving.requests.size shouldBe 1 }
                    val sound = fleet.startSound()
                    repeat(REQUESTS) { fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x") }
                    leaving.requests.size shouldBe 1
                    sound.requests.size shouldBe REQUESTS
                } finally {
                    fleet.close()
                }
            }
        }

        test("a worker that leaves gets no other request while the registry can't be read") {
            val fleet = TestFleet()
            try {
                val leaving = fleet.startWorker("leaving", *Array(REQUESTS + 1) { head("200 OK") + stream })
                val node = fleet.startReady()
                fleet.startSound()
                eventually(5.seconds) {
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x")
                    leaving.requests.size shouldBe 1
                }
                fleet.log.isDown = true
                repeat(REQUESTS) { fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x") }
                leaving.requests.size shouldBe 1
            } finally {
                fleet.close()
            }
        }

        // The word of a worker was known only to the node that had read it; the other nodes went on sending requests.
        listOf("here", "there").forEach { zone ->
            test("a worker that has stated to a node that it leaves gets no request of a node in the zone $zone") {
                val fleet = TestFleet()
                try {
                    val first = head("200 OK") + "Connection: close\r\n" + stream + "CLOSE"
                    val leaving = fleet.startWorker("leaving", first, *Array(REQUESTS) { soundStream })
                    val node = fleet.startReady()
                    val other = fleet.start("b", ownsBatch = false, zone)
                    // Long enough for both nodes to know each other and the capacity of the zones.
                    delay(MEMBERS_MILLIS)
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x").statusCode() shouldBe 200
                    val sound = fleet.startSound()
                    repeat(REQUESTS) {
                        fleet.sendRequest(other.callersAddress, HttpMethod.POST, "/stream/x").statusCode() shouldBe 200
                    }
                    leaving.requests.size shouldBe 1
                    sound.requests.size shouldBe REQUESTS
                    fleet.register("leaving", leaving.address, startedMillis = 2)
                    eventually(5.seconds) {
                        fleet.sendRequest(other.callersAddress, HttpMethod.POST, "/stream/x")
                        leaving.requests.size shouldBe 2
                    }
                } finally {
                    fleet.close()
                }
            }
        }

        test("a worker that has left gets requests again after it has restarted with the same id and address") {
            val fleet = TestFleet()
            try {
                val responses =
                    listOf(head("200 OK") + "Connection: close\r\n" + stream + "CLOSE", soundStream, soundStream)
                val worker = fleet.startWorker("w", *responses.toTypedArray())
                val node = fleet.startReady()
                fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x").statusCode() shouldBe 200
                fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x").statusCode() shouldBe 503
                fleet.register("w", worker.address, startedMillis = 2)
                eventually(5.seconds) {
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/stream/x").statusCode() shouldBe 200
                }
                worker.requests.size shouldBeGreaterThan 1
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        // Enough that a worker that is chosen at random among two would get at least one of them.
        const val REQUESTS = 12

        // Longer than the pause between two reads of the registry.
        const val REGISTRY_MILLIS = 1_000L
        const val MEMBERS_MILLIS = 2_000L
    }
}
