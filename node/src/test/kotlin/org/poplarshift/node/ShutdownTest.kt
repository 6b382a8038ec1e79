package org.poplarshift.node

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RawCaller
import kotlin.time.Duration.Companion.seconds

/** Guards against a graceful shutdown that interrupts or refuses requests (R12). */
class ShutdownTest :
    FunSpec({
        test("a leaving node serves new requests during the list lag and completes all running requests") {
            Fleet().use { fleet ->
                val worker = fleet.worker()
                val node = fleet.node(listLagMillis = 1_500)
                val peer = fleet.node("node-2", seedPeers = listOf(node.peersAddress))
                val catalogue = Fleet.catalogue(listOf(worker))
                val longIdleUpstream = catalogue.upstreams[0].copy(timeouts = Fleet.TIMEOUTS.copy(idleMillis = 30_000))
                fleet.publish(catalogue.copy(upstreams = listOf(longIdleUpstream, catalogue.upstreams[1])))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                eventually(5.seconds) { node.inspect("/status").body() shouldContain "node-2" }
                var openRequest: HttpServerRequest? = null
                worker.answer = {
                    FakeWorker.stream(it)
                    openRequest = it
                }
                val caller = RawCaller(node.callersAddress).complete(key)
                caller.readUntil("data: 1")
                coroutineScope {
                    val shutdown = async { node.node.shutdown() }
                    eventually(1.seconds) { node.inspect("/health/ready").statusCode() shouldBe 503 }
                    worker.answer = { FakeWorker.echo(it) }
                    val lateResponse = node.complete(key)
                    lateResponse.statusCode() shouldBe 200
                    lateResponse.headers().firstValue("Connection").get() shouldBe "close"
                    eventually(1.seconds) { peer.inspect("/status").body() shouldContain "\"isLeaving\":true" }
                    delay(2_000)
                    shutdown.isCompleted shouldBe false
                    openRequest!!.response().end("data: [DONE]\n\n")
                    caller.readUntil(RawCaller.FINAL_CHUNK) shouldEndWith "data: [DONE]\n\n${RawCaller.FINAL_CHUNK}"
                    shutdown.await()
                }
            }
        }
    })
