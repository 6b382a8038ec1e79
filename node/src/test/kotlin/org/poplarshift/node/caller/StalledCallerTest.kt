package org.poplarshift.node.caller

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.buffer.Buffer
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RawCaller
import kotlin.time.Duration.Companion.seconds

/** Guards against callers with a stalled connection that occupy a worker or delay a shutdown. */
class StalledCallerTest :
    FunSpec({
        test("a caller that stops sending before the end of its body is refused") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node(callerIdleMillis = 200)
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                RawCaller(node.callersAddress).use { caller ->
                    val response = caller.sendPartialBody(key).readToEnd()
                    response shouldContain "HTTP/1.1 408"
                    response shouldContain "\"not_run\""
                }
                eventually(3.seconds) { node.node.openRequests.size shouldBe 0 }
            }
        }

        test("a caller that stops reading is disconnected and its stream cancelled at the engine") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node(callerIdleMillis = 200)
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                engine.answer = { request ->
                    if (request.method().name() == "DELETE") {
                        FakeWorker.echo(request)
                    } else {
                        FakeWorker.stream(request)
                        repeat(32) { request.response().write(Buffer.buffer(ByteArray(1_048_576))) }
                    }
                }
                RawCaller(node.callersAddress).use { caller ->
                    caller.complete(key)
                    eventually(5.seconds) {
                        engine.received.count { it.method == "DELETE" } shouldBe 1
                        node.node.openRequests.size shouldBe 0
                    }
                }
            }
        }
    })
