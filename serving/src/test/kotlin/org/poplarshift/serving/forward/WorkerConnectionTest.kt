package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.HttpResponse
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetServerOptions
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * Guards against a response whose end is found at the wrong place: a HEAD request that waits for a body after an interim
 * response, and a body that counts as complete because its connection was reset while the request was being sent. Guards as
 * well against interim responses without end, which a node would take for as long as its caller waits.
 */
class WorkerConnectionTest :
    FunSpec({
        class RecordingReceiver : ResponseReceiver {
            val events = ArrayList<String>()

            override fun onInterim(response: HttpResponse) {
                events += "interim"
            }

            override fun onHead(response: HttpResponse) {
                events += "head"
            }

            override fun onBody(bytes: Buffer) {
                events += "body"
            }

            override fun onEnd() {
                events += "end"
            }

            override fun onMalformed(reason: String) {
                events += "malformed"
            }

            override fun onLost(reason: String) {
                events += "lost"
            }
        }

        suspend fun exchange(request: OutgoingRequest, serve: (Vertx, NetSocket) -> Unit): List<String> {
            val vertx = Vertx.vertx()
            val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
            val receiver = RecordingReceiver()
            try {
                scope.async {
                    val server = vertx.createNetServer(NetServerOptions().setReceiveBufferSize(4_096))
                        .connectHandler { socket ->
                            socket.exceptionHandler { }
                            serve(vertx, socket)
                        }.listen(0, "127.0.0.1").coAwait()
                    val address = "127.0.0.1:${server.actualPort()}"
                    val worker =
                        FleetWorker("w", "s", address, "here", slots = 1, isDraining = false, startedMillis = 1)
                    val recorder = UnusableResponseRecorder(SimpleMeterRegistry())
                    val pool =
                        WorkerConnectionPool(DirectWorkerConnector(vertx, "127.0.0.1"), MonotonicClock.SYSTEM, recorder)
                    pool.acquire(worker, request.id, mayRepeat = true).shouldNotBeNull().send(request, receiver)
                    delay(EXCHANGE_MILLIS)
                }.await()
            } finally {
                scope.cancel()
                vertx.close().coAwait()
            }
            return receiver.events
        }

        fun request(method: HttpMethod, body: Buffer) =
            OutgoingRequest("a", method, "/x", MultiMap.caseInsensitiveMultiMap(), body)

        fun reset(socket: NetSocket) {
            (socket as NetSocketInternal).channelHandlerContext().channel().config().setOption(
                ChannelOption.SO_LINGER,
                0,
            )
            socket.close()
        }

        listOf(1_000, 20_000_000).forEach { bytes ->
            test("a response without a length is not complete after a reset while $bytes bytes are being sent") {
                val events = exchange(request(HttpMethod.POST, Buffer.buffer(ByteArray(bytes)))) { vertx, socket ->
                    socket.pause()
                    socket.write("HTTP/1.1 200 OK\r\nId: a\r\nStamp: 1\r\n\r\npart")
                    vertx.setTimer(RESET_MILLIS) { reset(socket) }
                }
                events shouldNotContain "end"
                events.last() shouldBe "lost"
            }
        }

        test("an interim response does not add a body to the response to HEAD") {
            val events = exchange(request(HttpMethod.HEAD, Buffer.buffer())) { _, socket ->
                socket.write(
                    "HTTP/1.1 103 Early Hints\r\n\r\n" +
                        "HTTP/1.1 200 OK\r\nId: a\r\nStamp: 1\r\nContent-Length: 4\r\n\r\n",
                )
            }
            events shouldBe listOf("interim", "head", "end")
        }

        val limit = WorkerConnection.MAXIMUM_INTERIM_RESPONSES
        data class InterimCase(val responses: Int, val lastEvents: List<String>)
        listOf(
            InterimCase(limit, listOf("head", "body", "end")),
            InterimCase(limit + 1, listOf("malformed")),
            InterimCase(100 * limit, listOf("malformed")),
        ).forEach { case ->
            test("the response after ${case.responses} interim responses ends with ${case.lastEvents}") {
                val events = exchange(request(HttpMethod.POST, Buffer.buffer())) { _, socket ->
                    socket.write(
                        "HTTP/1.1 102 Processing\r\n\r\n".repeat(case.responses) +
                            "HTTP/1.1 200 OK\r\nId: a\r\nStamp: 1\r\nContent-Length: 4\r\n\r\ngood",
                    )
                }
                events.take(limit) shouldBe List(limit) { "interim" }
                // A segment with the end of a response is decoded in two parts.
                events.drop(limit).distinct() shouldBe case.lastEvents
            }
        }
    }) {
    private companion object {
        // Long enough for what has been sent to be received on the loopback interface.
        const val RESET_MILLIS = 200L
        const val EXCHANGE_MILLIS = 600L
    }
}
