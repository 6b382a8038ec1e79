package org.poplarshift.node.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.http.HttpServerRequest
import org.poplarshift.core.catalogue.Route
import org.poplarshift.core.routing.RoutingPolicyChoice
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RawCaller
import org.poplarshift.node.fixture.RunningNode

/** Guards against refusals that report a request that ran as not run (R9) and against incorrect retries (R10). */
class RefusalTest :
    FunSpec({
        val closeConnection: (HttpServerRequest) -> Unit = { it.connection().close() }
        val sendNothing: (HttpServerRequest) -> Unit = { }

        test("an unreachable worker is reported as not run, a lost connection or response timeout as may have run") {
            Fleet().use { fleet ->
                val stoppedWorker = fleet.worker()
                val engine = fleet.worker()
                val node = fleet.node()
                val label = Route("l", "shops", "POST", "/labels", "app", idempotent = false)
                fleet.publish(Fleet.catalogue(listOf(stoppedWorker), listOf(engine)).copy(routes = listOf(label)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                stoppedWorker.close()
                node.complete(key).also { it.statusCode() shouldBe 502 }.body() shouldContain "\"not_run\""

                for (fault in listOf(closeConnection, sendNothing)) {
                    engine.answer = fault
                    engine.received.clear()
                    node.call("POST", "/labels", key).body() shouldContain "\"may_have_run\""
                    engine.runs shouldHaveSize 1
                }
            }
        }

        test("an idempotent request is sent to another worker, one that is not idempotent only if it did not run") {
            Fleet().use { fleet ->
                val workers = List(2) { fleet.worker() }
                val node = fleet.node(routing = RoutingPolicyChoice.RoundRobin)
                val label = Route("l", "shops", "POST", "/labels", "app", idempotent = false)
                fleet.publish(Fleet.catalogue(workers, workers).copy(routes = listOf(label)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                workers[0].answer = closeConnection
                node.complete(key).statusCode() shouldBe 200
                workers.forEach { it.runs shouldHaveSize 1 }

                workers[0].close()
                repeat(4) { node.call("POST", "/labels", key).statusCode() shouldBe 200 }
                node.inspect("/metrics").body() shouldContain "poplarshift_retries_total{reason=\"connect_failed\"}"
            }
        }

        test("a request whose connection was lost is not reported as not run when no other worker is available") {
            Fleet().use { fleet ->
                val workers = List(2) { fleet.worker() }
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(workers))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                workers.forEach { it.answer = closeConnection }
                val response = node.complete(key)
                response.statusCode() shouldBe 502
                response.body() shouldContain "\"may_have_run\""
                response.body() shouldContain "\"connection_lost\""
            }
        }

        test("a request with an idempotency key is refused while the ledger is unavailable") {
            Fleet().use { fleet ->
                val service = fleet.worker()
                val node = fleet.node()
                val label = Route("l", "shops", "POST", "/labels", "app", idempotent = false)
                fleet.publish(Fleet.catalogue(emptyList(), listOf(service)).copy(routes = listOf(label)))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                node.log.isCutOff = true
                val response = node.call("POST", "/labels", key, headers = mapOf("Idempotency-Key" to "k"))
                response.statusCode() shouldBe 503
                response.body() shouldContain "\"log_unavailable\""
                response.body() shouldContain "\"not_run\""
                service.runs.shouldBeEmpty()
            }
        }

        test("requests over a limit or rate are refused with the reason and Retry-After") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                val base = Fleet.catalogue(listOf(engine))
                val slow = base.organisations[0].copy(id = "slow", ratePerSecond = 0.5, burst = 1.0)
                node.complete("psk_any").body() shouldContain "\"no_configuration\""
                fleet.publish(base.copy(organisations = base.organisations + slow))
                val office = fleet.issueKey("office")
                val key = fleet.issueKey("slow")
                node.awaitVersion(2)

                val large = RunningNode.COMPLETION.replace("a quilt", "a".repeat(1_100_000))
                node.complete(office, large).statusCode() shouldBe 413
                node.call("GET", "/" + "a".repeat(5_000)).statusCode() shouldBe 413
                RawCaller(node.callersAddress).use { it.get("/%zz").readUntil("}}") shouldContain "\"bad_request\"" }
                node.call("GET", "/", headers = mapOf("X-Long" to "a".repeat(20_000))).statusCode() shouldBe 413
                node.complete(office, """{"model":3,"prompt":""}""").body() shouldContain "model must be a string"

                node.complete(key).statusCode() shouldBe 200
                val refused = node.complete(key)
                refused.statusCode() shouldBe 429
                refused.headers().firstValue("Retry-After").get() shouldBe "2"
                node.inspect("/status").body() shouldContain "\"rate_exceeded\":1"
            }
        }

        test("a request that an engine refuses with 503 is retried at another worker") {
            Fleet().use { fleet ->
                val workers = List(2) { fleet.worker() }
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(workers))
                val key = fleet.issueKey("office")
                node.awaitVersion(1)
                workers[0].answer =
                    { it.response().setStatusCode(503).putHeader("X-Request-Id", it.getHeader("X-Request-Id")).end() }
                repeat(2) { node.complete(key).statusCode() shouldBe 200 }
            }
        }
    })
