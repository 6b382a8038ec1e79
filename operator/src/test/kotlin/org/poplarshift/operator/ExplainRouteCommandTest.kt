package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait

/** Guards against a command that hides which node decides, or asks for another request than the operator has stated. */
class ExplainRouteCommandTest :
    FunSpec({
        timeout = 60_000
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        val decided = """{"node":"n","service":"s","scheduler":"n","worker":"w","workMillis":585,"unknownField":1,"candidates":[
            {"worker":"w","verdict":"chosen","runMillis":600,"delayMillis":20,"firstMillis":8,"cachedTokens":350,
            "speed":0.55,"requests":1,"slots":8,"remainingMillis":300}]}"""

        data class Case(val response: String, val arguments: List<String>, val exitCode: Int, val output: String)
        listOf(
            Case(decided, emptyList(), 0, "s: the request goes to w; its work is 585 ms"),
            Case(decided, emptyList(), 0, "w: chosen, run 600 ms, delay of others 20 ms"),
            Case(decided, listOf("--json"), 0, "\"verdict\":\"chosen\""),
            Case(
                """{"node":"n","service":"s","scheduler":"m"}""",
                emptyList(),
                1,
                "ask m, which runs the scheduler of s",
            ),
            Case("""{"node":"n","service":"s","scheduler":null}""", emptyList(), 1, "n reaches no scheduler of s"),
            Case(
                """{"node":"n","service":"s","scheduler":"n"}""",
                emptyList(),
                1,
                "the scheduler at n has no worker of s",
            ),
            Case("no JSON", emptyList(), 1, ""),
        ).forEach { case ->
            test("the output for ${case.response.take(45)} ${case.arguments} has '${case.output}'") {
                var asked = ""
                val node = vertx.createHttpServer().requestHandler { request ->
                    asked = request.uri()
                    request.response().end(case.response)
                }.listen(0, "127.0.0.1").coAwait()
                val arguments = listOf(
                    "explain-route",
                    "--node=127.0.0.1:${node.actualPort()}",
                    "--service=s",
                    "--route=a/b",
                    "--prompt-tokens=400",
                    "--maximum-output=80",
                    "--part=x:350",
                    "--part=y:50",
                ) + case.arguments
                val run = CommandRun.of(*arguments.toTypedArray())
                run.exitCode shouldBe case.exitCode
                run.out shouldContain case.output
                asked shouldBe
                    "/explain-route?service=s&route=a%2Fb&prompt=400&maximum=80&batch=false&part=x%3A350&part=y%3A50"
                node.close().coAwait()
            }
        }
    })
