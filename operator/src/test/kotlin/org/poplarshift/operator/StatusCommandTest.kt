package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.standins.platform.PlatformSettings
import org.poplarshift.standins.platform.PlatformStandIn
import org.poplarshift.standins.platform.Vm
import org.poplarshift.wire.ConfigurationResponse
import org.poplarshift.wire.WireJson

/** Guards against a status output that omits unreachable nodes or the reason why a node would refuse a request. */
class StatusCommandTest :
    FunSpec({
        timeout = 60_000
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("status shows every listed VM and the reason why a request would be refused") {
            val status = """{"vm":"a","availabilityZone":"z","state":"serving","configurationVersion":5,
                "catalogueVersion":3,"refusals":{"queue_full":2},"unknownField":1}"""
            val response = ConfigurationResponse(Configuration(5, 3, TestCatalogue.catalogue))
            val node = vertx.createHttpServer().requestHandler { request ->
                val isStatus = request.path() == "/status"
                val configuration = WireJson.strict.encodeToString(ConfigurationResponse.serializer(), response)
                request.response().end(if (isStatus) status else configuration)
            }.listen(0, "127.0.0.1").coAwait()
            val vms = listOf(Vm("a", "z", "127.0.0.1:${node.actualPort()}"), Vm("b", "z", "127.0.0.1:1"))
            val platform = PlatformStandIn(vertx, PlatformSettings(vms = vms))
            platform.start()
            val run = CommandRun.of(
                "status",
                "--platform=127.0.0.1:${platform.port}",
                "--organisation=night",
                "--model=m",
            )
            run.exitCode shouldBe 1
            run.out shouldContain "serving, catalogue 3, configuration 5"
            run.out shouldContain "refused queue_full: 2"
            run.out shouldContain "would refuse, forbidden_route: night may use batch jobs only"
            run.out shouldContain "127.0.0.1:1: no status"
            platform.stop()
            node.close().coAwait()
        }
    })
