package org.poplarshift.node.caller

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.poplarshift.core.catalogue.Route
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RawCaller
import kotlin.time.Duration.Companion.seconds

/** Guards against a request with an `Idempotency-Key` that runs twice or whose response is lost (R8, R10). */
class IdempotencyKeyTest :
    FunSpec({
        val label = Route("l", "shops", "POST", "/labels", "app", idempotent = false)
        val headers = mapOf("Idempotency-Key" to "parcel-7")

        test("a resend through another node returns the recorded response and does not run") {
            Fleet().use { fleet ->
                val service = fleet.worker()
                val first = fleet.node("node-1")
                val second = fleet.node("node-2")
                fleet.publish(Fleet.catalogue(emptyList(), listOf(service)).copy(routes = listOf(label)))
                val key = fleet.issueKey("office")
                first.awaitVersion(1)
                second.awaitVersion(1)
                service.answer = { FakeWorker.echo(it, "label 1") }
                first.call("POST", "/labels", key, headers = headers).body() shouldBe "label 1"
                service.answer = { FakeWorker.echo(it, "label 2") }
                eventually(5.seconds) {
                    val resent = second.call("POST", "/labels", key, headers = headers)
                    resent.body() shouldBe "label 1"
                    resent.headers().firstValue("Idempotency-Replayed").get() shouldBe "true"
                }
                second.call("POST", "/labels", key, body = "other", headers = headers).statusCode() shouldBe 409
                service.runs shouldHaveSize 1
            }
        }

        test("the response is recorded although the caller has disconnected") {
            Fleet().use { fleet ->
                val service = fleet.worker()
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(emptyList(), listOf(service)).copy(routes = listOf(label)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                service.answer = { request -> fleet.schedule(300) { FakeWorker.echo(request, "label 1") } }
                RawCaller(node.callersAddress).use { caller ->
                    caller.post("/labels", key, "parcel-7")
                    eventually(5.seconds) { service.runs shouldHaveSize 1 }
                }
                eventually(5.seconds) { node.call("POST", "/labels", key, headers = headers).body() shouldBe "label 1" }
                service.runs shouldHaveSize 1
            }
        }
    })
