package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.operator.load.ArrivalProcess
import org.poplarshift.operator.load.LoadPlan
import org.poplarshift.operator.load.LoadReport
import org.poplarshift.operator.load.LoadStream
import org.poplarshift.standins.engine.EngineFaults
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.engine.EngineStandIn
import org.poplarshift.wire.WireJson
import kotlin.io.path.createTempDirectory
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Guards against a load run that waits for slow responses and against truncated streams that count as complete. */
class LoadCommandTest :
    FunSpec({
        timeout = 60_000
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun load(faults: EngineFaults): LoadReport {
            val engine = EngineStandIn(vertx, EngineSettings("w", faults = faults))
            engine.start()
            val directory = createTempDirectory()
            val stream =
                LoadStream("shop", "shop.key", listOf("127.0.0.1:${engine.port}"), 20.0, "m", listOf("hello"), 4)
            val plan = LoadPlan(1.0, ArrivalProcess.UNIFORM, streams = listOf(stream))
            directory.resolve("shop.key").writeText("psk_x\n")
            directory.resolve("plan.json").writeText(WireJson.strict.encodeToString(LoadPlan.serializer(), plan))
            val json = directory.resolve("report.json")
            val run = CommandRun.of("load", "${directory.resolve("plan.json")}", "--json=$json")
            run.exitCode shouldBe 0
            run.out shouldContain "shop: sent 19"
            engine.stop()
            val report = WireJson.strict.decodeFromString(LoadReport.serializer(), json.readText())
            check(directory.toFile().deleteRecursively())
            return report
        }

        test("requests are sent on schedule even if responses are late") {
            val report = load(EngineFaults(responseDelayMillis = 1_500)).organisations.single()
            report.completed shouldBe 19
            report.firstTokenMillis.p50 shouldBeGreaterThan 1_500.0
        }

        test("refusals are counted by error code, and truncated streams are not counted as completed") {
            load(EngineFaults(refuseRequests = true)).organisations.single().failures shouldBe mapOf("http_503" to 19L)
            load(EngineFaults(cutAfterTokens = 2)).organisations.single().completed shouldBe 0
        }
    })
