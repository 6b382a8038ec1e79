package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.handler.codec.http.HttpResponse
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * Guards against a request that fails because of bytes that were received before it was sent: they follow the response to
 * the request before it, whose end must not be reported before they are found.
 */
class ReusedConnectionTest :
    FunSpec({
        class RecordingReceiver(private val whenEnded: () -> Unit) : ResponseReceiver {
            val events = ArrayList<String>()

            override fun onInterim(response: HttpResponse) {
                events += "interim"
            }

            override fun onHead(response: HttpResponse) {
                events += "head ${response.headers()["Id"]}"
            }

            override fun onBody(bytes: Buffer) {
                events += "body"
            }

            override fun onEnd() {
                events += "end"
                whenEnded()
            }

            override fun onMalformed(reason: String) {
                events += "malformed"
            }

            override fun onLost(reason: String) {
                events += "lost"
            }
        }

        fun response(id: String) = "HTTP/1.1 200 OK\r\nId: $id\r\nStamp: 1\r\nContent-Length: 4\r\n\r\ngood"

        fun chunkedResponse(id: String) =
            "HTTP/1.1 200 OK\r\nId: $id\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"

        /** [writes] are written one after the other while the node does not read from the connection. */
        data class Case(val name: String, val writes: List<String>, val isReused: Boolean = false)
        val cases = listOf(
            Case("nothing", listOf(response("a")), isReused = true),
            Case("nothing, in chunks", listOf(chunkedResponse("a")), isReused = true),
            Case("a second response", listOf(response("a") + response("a"))),
            Case("a second response, in chunks", listOf(chunkedResponse("a") + chunkedResponse("a"))),
            Case("a response without an id", listOf(response("a") + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
            Case("the beginning of a head", listOf(response("a") + "HTTP/1.1 200 OK\r\nX: ")),
            Case("one letter", listOf(response("a") + "H")),
            Case("a second response in a segment of its own", listOf(response("a"), response("a"))),
            Case("one letter in a segment of its own", listOf(response("a"), "H")),
        )

        fun request(id: String) =
            OutgoingRequest(id, HttpMethod.POST, "/x", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer())

        for (isDispatched in listOf(false, true)) {
            cases.forEach { case ->
                val way = if (isDispatched) "in a coroutine that waits for the end" else "when the end is reported"
                test("after ${case.name} behind a response the next request, sent $way, is answered") {
                    val vertx = Vertx.vertx()
                    val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                    val next = RecordingReceiver { }
                    var isReused = false
                    scope.async {
                        val server = vertx.createNetServer().connectHandler { socket ->
                            socket.handler { bytes ->
                                val isFirst = "Id: a" in bytes.toString()
                                val writes = if (isFirst) case.writes else listOf(response("b"))
                                writes.forEach { socket.write(it) }
                            }
                        }.listen(0, "127.0.0.1").coAwait()
                        val address = "127.0.0.1:${server.actualPort()}"
                        val worker =
                            FleetWorker("w", "s", address, "here", slots = 1, isDraining = false, startedMillis = 1)
                        val recorder = UnusableResponseRecorder(SimpleMeterRegistry())
                        val pool =
                            WorkerConnectionPool(
                                DirectWorkerConnector(vertx, "127.0.0.1"),
                                MonotonicClock.SYSTEM,
                                recorder,
                            )
                        val first = pool.acquire(worker, "a", mayRepeat = true).shouldNotBeNull()
                        val isEnded = CompletableDeferred<Unit>()

                        suspend fun sendNext() {
                            pool.release(first, keepAliveMillis = null)
                            val connection = pool.acquire(worker, "b", mayRepeat = true).shouldNotBeNull()
                            isReused = connection === first
                            connection.send(request("b"), next)
                        }
                        first.send(
                            request("a").withId(),
                            RecordingReceiver {
                                isEnded.complete(Unit)
                                if (!isDispatched) scope.launch(start = CoroutineStart.UNDISPATCHED) { sendNext() }
                            },
                        )
                        first.setReading(false)
                        delay(EXCHANGE_MILLIS)
                        first.setReading(true)
                        isEnded.await()
                        if (isDispatched) sendNext()
                        delay(EXCHANGE_MILLIS)
                    }.await()
                    scope.cancel()
                    vertx.close().coAwait()
                    next.events.distinct() shouldBe listOf("head b", "body", "end")
                    withClue("the connection is used again") { isReused shouldBe case.isReused }
                }
            }
        }
    }) {
    private companion object {
        // Longer than a request and its response need on the loopback interface.
        const val EXCHANGE_MILLIS = 100L

        fun OutgoingRequest.withId() = also { it.headers.add("Id", it.id) }
    }
}
