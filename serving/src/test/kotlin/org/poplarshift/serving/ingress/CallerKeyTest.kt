package org.poplarshift.serving.ingress

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against callers without a known key that are served because the last organisation has been removed. */
class CallerKeyTest :
    FunSpec({
        val response = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nContent-Length: 4\r\n\r\ngood"

        test("no key is known while the configuration has an empty list of organisations") {
            val fleet = TestFleet()
            try {
                fleet.startWorker("w", response, response)
                fleet.configuration = fleet.configuration.copy(organisations = emptyList())
                fleet.publishConfiguration()
                val node = fleet.start("a")
                eventually(5.seconds) {
                    fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                }
                listOf("/safe/x", "/stream/x", "/batch/s").forEach { path ->
                    withClue(path) {
                        fleet.sendRequest(node.callersAddress, HttpMethod.POST, path).statusCode() shouldBe 401
                    }
                }
                fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/s").statusCode() shouldBe 401
            } finally {
                fleet.close()
            }
        }
    })
