package org.poplarshift.node.caller

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.http.HttpServerRequest
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RawCaller
import kotlin.time.Duration.Companion.seconds

/** Guards against responses to other requests and truncated responses that look complete (R8). */
class ResponseIntegrityTest :
    FunSpec({
        test("a stream is forwarded as it arrives and ends with the final chunk") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                var open: HttpServerRequest? = null
                engine.answer = {
                    FakeWorker.stream(it)
                    open = it
                }
                RawCaller(node.callersAddress).use { caller ->
                    caller.complete(key).readUntil("data: 1") shouldContain "data: 1"
                    open!!.response().end("data: [DONE]\n\n")
                    caller.readUntil(RawCaller.FINAL_CHUNK) shouldContain "data: [DONE]\n\n${RawCaller.FINAL_CHUNK}"
                }
            }
        }

        val truncations = mapOf<String, (HttpServerRequest) -> Unit>(
            "a connection that closes" to {
                FakeWorker.stream(it)
                it.response().write("data: 2\n\n").onSuccess { _ -> it.connection().close() }
            },
            "a worker that stops sending" to { FakeWorker.stream(it) },
            "a body that is shorter than its length" to {
                val response = it.response().putHeader("X-Request-Id", it.getHeader("X-Request-Id"))
                response.putHeader("Content-Length", "99").write("short").onSuccess { _ -> it.connection().close() }
            },
        )
        for ((name, truncate) in truncations) {
            test("$name never looks like a complete response") {
                Fleet().use { fleet ->
                    val engine = fleet.worker()
                    val node = fleet.node()
                    fleet.publish(Fleet.catalogue(listOf(engine)))
                    val key = fleet.issueKey("office")
                    node.awaitVersion(1)
                    engine.answer = truncate
                    RawCaller(node.callersAddress).use { caller ->
                        val response = caller.complete(key).readToEnd()
                        response shouldContain "HTTP/1.1 200"
                        response shouldNotContain RawCaller.FINAL_CHUNK
                    }
                }
            }
        }

        test("a body that only ends with the connection never looks like a complete response") {
            Fleet().use { fleet ->
                val node = fleet.node()
                val base = Fleet.catalogue(listOf(fleet.worker()))
                val address = fleet.closeDelimitedWorker()
                val writer = base.upstreams[0].copy(
                    workers = base.upstreams[0].workers.map {
                        it.copy(address = address)
                    },
                )
                fleet.publish(base.copy(upstreams = listOf(writer, base.upstreams[1])))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                RawCaller(node.callersAddress).use { caller ->
                    val response = caller.complete(key).readToEnd()
                    response shouldContain "a part"
                    response shouldNotContain RawCaller.FINAL_CHUNK
                }
            }
        }

        test("the response to another request is dropped and its connection closed") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                var isClosed = false
                engine.answer = {
                    it.connection().closeHandler { isClosed = true }
                    it.response().putHeader("X-Request-Id", "another").end("secret of another caller")
                }
                val response = node.complete(key)
                response.statusCode() shouldBe 502
                response.body() shouldContain "\"wrong_response\""
                response.body() shouldContain "\"may_have_run\""
                response.body() shouldNotContain "secret"
                eventually(5.seconds) { isClosed shouldBe true }
            }
        }

        test("the request is cancelled at the engine when the caller disconnects") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                engine.answer = { if (it.method().name() == "DELETE") FakeWorker.echo(it) else FakeWorker.stream(it) }
                RawCaller(node.callersAddress).use { it.complete(key).readUntil("data: 1") }
                eventually(3.seconds) {
                    val cancels = engine.received.filter { it.method == "DELETE" }
                    cancels shouldHaveSize 1
                    cancels[0].uri shouldBe "/streams/" + engine.runs.single().headers.get("X-Request-Id")
                    engine.runs.single().headers.get("X-Request-Id") shouldNotBe null
                    node.node.openRequests.size shouldBe 0
                }
            }
        }
    })
