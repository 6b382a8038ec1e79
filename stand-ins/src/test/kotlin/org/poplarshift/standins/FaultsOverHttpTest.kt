package org.poplarshift.standins

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.engine.EngineStandIn
import org.poplarshift.standins.platform.PlatformStandIn
import org.poplarshift.standins.service.ServiceSettings
import org.poplarshift.standins.service.ServiceStandIn

/** Guards against a stand-in that waits for its own event loop, so that it answers no request that sets faults. */
class FaultsOverHttpTest :
    FunSpec({
        timeout = 20_000
        val vertx = Vertx.vertx()
        val client = WebClient.create(vertx)
        afterSpec { vertx.close().coAwait() }

        data class Case(val name: String, val standIn: StandIn, val faults: String)

        listOf(
            Case("platform", PlatformStandIn(vertx), """{"logOutage":"refuse"}"""),
            Case("engine", EngineStandIn(vertx, EngineSettings("w")), """{"leaving":true}"""),
            Case("service", ServiceStandIn(vertx, ServiceSettings("s")), """{"leaving":true}"""),
        ).forEach { case ->
            test("faults that are set over HTTP are confirmed: ${case.name}") {
                case.standIn.start()
                val request = client.put(case.standIn.port, "127.0.0.1", "/faults").timeout(1_000)
                request.sendBuffer(Buffer.buffer(case.faults)).coAwait().statusCode() shouldBe 200
                case.standIn.stop()
            }
        }
    })
