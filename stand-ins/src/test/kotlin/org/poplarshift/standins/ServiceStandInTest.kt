package org.poplarshift.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.standins.http.Outage
import org.poplarshift.standins.service.ServiceFaults
import org.poplarshift.standins.service.ServiceSettings
import org.poplarshift.standins.service.ServiceStandIn

/** Guards against a plain service stand-in that miscounts runs, which would conceal a request that ran twice. */
class ServiceStandInTest :
    FunSpec({
        timeout = 20_000
        val vertx = Vertx.vertx()
        val client = WebClient.create(vertx)
        afterSpec { vertx.close().coAwait() }

        data class Case(val name: String, val faults: ServiceFaults, val status: Int?, val runs: Long)

        listOf(
            Case("no fault", ServiceFaults(), 200, 1),
            Case("refused by an outage", ServiceFaults(outage = Outage.REFUSE), 503, 0),
            Case("connection closed after the run", ServiceFaults(lostNextResponses = 1), null, 1),
            Case("no response after the run", ServiceFaults(silentNextResponses = 1), null, 1),
            Case("error status after the run", ServiceFaults(failNextRequests = 1, failStatus = 502), 502, 1),
            Case("response delayed beyond the time-out", ServiceFaults(responseDelayMillis = 2_000), null, 1),
        ).forEach { case ->
            test("a request has the expected status and number of runs: ${case.name}") {
                val service = ServiceStandIn(vertx, ServiceSettings("s", faults = case.faults))
                service.start()
                val request = client.post(service.port, "127.0.0.1", "/labels/7").putHeader("X-Request-Id", "r")
                val status = runCatching { request.timeout(400).send().coAwait().statusCode() }.getOrNull()
                status shouldBe case.status
                service.runs.report().total shouldBe case.runs
                service.stop()
            }
        }
    })
