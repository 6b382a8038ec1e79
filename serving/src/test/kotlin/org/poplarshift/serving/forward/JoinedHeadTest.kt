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
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeout
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.PlainWorkerProtocol
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * Guards against the head of a response that is cut anywhere and completed by a second response to the same request: the
 * status would be that of the one and the body that of the other, with the right id in both.
 */
class JoinedHeadTest :
    FunSpec({
        class IdentityReceiver : ResponseReceiver {
            val isUsed = CompletableDeferred<Boolean>()

            override fun onInterim(response: HttpResponse) = Unit

            override fun onHead(response: HttpResponse) {
                val headers = MultiMap.caseInsensitiveMultiMap()
                response.headers().forEach { (name, value) -> headers.add(name, value) }
                val status = response.status()
                val identity =
                    ResponseIdentity.of("a", status.code(), status.reasonPhrase(), headers, PlainWorkerProtocol)
                isUsed.complete(identity is ResponseIdentity.Own)
            }

            override fun onBody(bytes: Buffer) = Unit

            override fun onEnd() = Unit

            override fun onMalformed(reason: String) {
                isUsed.complete(false)
            }

            override fun onLost(reason: String) {
                isUsed.complete(false)
            }
        }

        fun head(status: String, more: String) = "HTTP/1.1 $status\r\nId: a\r\n$more\r\n"
        val heads = mapOf(
            "a success with a length" to head("200 OK", "Stamp: 1\r\nVia: HTTP/1.1 x\r\nContent-Length: 4\r\n"),
            "a success in chunks" to head("200 OK", "Stamp: 1\r\nTransfer-Encoding: chunked\r\n"),
            "an error" to head("500 Error", "Stamp: 1\r\nContent-Length: 4\r\n"),
            "an error without a length" to head("500 Error", "Stamp: 1\r\n"),
            "a refusal" to head("503 Full", "Not-Run: 1\r\nContent-Length: 4\r\n"),
        )

        suspend fun isUsed(pool: WorkerConnectionPool, worker: FleetWorker): Boolean {
            val connection = pool.acquire(worker, "a", mayRepeat = true).shouldNotBeNull()
            val receiver = IdentityReceiver()
            val headers = MultiMap.caseInsensitiveMultiMap()
            connection.send(OutgoingRequest("a", HttpMethod.GET, "/x", headers, Buffer.buffer()), receiver)
            return withTimeout(RESPONSE_MILLIS) { receiver.isUsed.await() }.also { connection.close() }
        }

        heads.forEach { (firstName, first) ->
            heads.forEach { (secondName, second) ->
                test("the head of $firstName that is cut anywhere before $secondName is not used") {
                    val vertx = Vertx.vertx()
                    val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                    try {
                        scope.async {
                            var response = second
                            val server = vertx.createNetServer().connectHandler { socket ->
                                socket.exceptionHandler { }
                                socket.handler { socket.write(response + "text") }
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
                            isUsed(pool, worker) shouldBe true
                            for (cut in 1 until first.length) {
                                response = first.take(cut) + second
                                withClue(response) { isUsed(pool, worker) shouldBe false }
                            }
                        }.await()
                    } finally {
                        scope.cancel()
                        vertx.close().coAwait()
                    }
                }
            }
        }
    }) {
    private companion object {
        const val RESPONSE_MILLIS = 5_000L
    }
}
