package org.poplarshift.standins

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withTimeout
import org.poplarshift.standins.engine.EngineFaults
import org.poplarshift.standins.engine.EngineSettings
import org.poplarshift.standins.engine.EngineStandIn
import org.poplarshift.standins.engine.GeneratedText
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Verifies that the faults and the timing of the engine stand-in match its settings. Other tests depend on them. */
class EngineStandInTest :
    FunSpec({
        timeout = 20_000
        val vertx = Vertx.vertx()
        val client = WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(100))
        afterSpec { vertx.close().coAwait() }

        suspend fun withEngine(settings: EngineSettings, block: suspend (EngineStandIn) -> Unit) {
            val engine = EngineStandIn(vertx, settings)
            engine.start()
            try {
                block(engine)
            } finally {
                engine.stop()
            }
        }

        suspend fun withEngine(faults: EngineFaults = EngineFaults(), block: suspend (EngineStandIn) -> Unit) =
            withEngine(EngineSettings("w", faults = faults), block)

        suspend fun EngineStandIn.complete(
            prompt: String,
            id: String = "r",
            tokens: Int = 4,
            stream: Boolean = false,
        ): HttpResponse<Buffer> = client.post(port, "127.0.0.1", "/v1/completions")
            .putHeader("X-Request-Id", id)
            .timeout(10_000)
            .sendBuffer(Buffer.buffer("""{"model":"m","prompt":"$prompt","max_tokens":$tokens,"stream":$stream}"""))
            .coAwait()

        suspend fun EngineStandIn.get(path: String): String =
            client.get(port, "127.0.0.1", path).send().coAwait().bodyAsString()

        suspend fun EngineStandIn.post(path: String, body: String): Int =
            client.post(port, "127.0.0.1", path).sendBuffer(Buffer.buffer(body)).coAwait().statusCode()

        test("responses and streams contain the text generated from the prompt, and the runs are counted") {
            withEngine { engine ->
                val plain = engine.complete("hello")
                plain.bodyAsString() shouldContain GeneratedText.complete("hello", 4)
                plain.getHeader("X-Request-Id") shouldBe "r"
                val stream = engine.complete("hello", stream = true).bodyAsString()
                stream.split("data: ").size shouldBe 1 + 4 + 2
                stream.endsWith("data: [DONE]\n\n") shouldBe true
                val entry = engine.runs.report("r").requests.single()
                entry.runs to entry.finished shouldBe (2 to 2)
                engine.get("/runs") shouldContain "X-Request-Id"
            }
        }

        test("a chat request gets a response in the format of the chat API") {
            withEngine { engine ->
                val body = """{"messages":[{"role":"user","content":"hi"}],"max_tokens":2}"""
                val response = client.post(engine.port, "127.0.0.1", "/v1/chat/completions")
                    .sendBuffer(Buffer.buffer(body)).coAwait().bodyAsString()
                response shouldContain """"object":"chat.completion""""
                response shouldContain """"role":"assistant","content":"""
            }
        }

        data class Case(val name: String, val faults: EngineFaults, val prompt: String, val status: Int, val runs: Int)

        listOf(
            Case("a prompt with the refuse marker", EngineFaults(), "x [[refuse]]", 422, 0),
            Case("an engine that rejects requests", EngineFaults(refuseRequests = true), "x", 503, 0),
            Case("a failing engine", EngineFaults(failNextRequests = 1), "x", 500, 0),
            Case("a delayed response", EngineFaults(responseDelayMillis = 50), "x", 200, 1),
        ).forEach { case ->
            test("${case.name} results in status ${case.status}") {
                withEngine(case.faults) { engine ->
                    engine.complete(case.prompt).statusCode() shouldBe case.status
                    engine.runs.report().total shouldBe case.runs
                }
            }
        }

        listOf(
            "silent on accept" to EngineFaults(silentOnAccept = true),
            "silent after two tokens" to EngineFaults(silentAfterTokens = 2),
            "cut after two tokens" to EngineFaults(cutAfterTokens = 2),
        ).forEach { (name, faults) ->
            test("a stream that is $name never completes") {
                withEngine(faults) { engine ->
                    // The time-out of the web client no longer applies once the response head has arrived.
                    shouldThrow<Exception> { withTimeout(400) { engine.complete("x", stream = true) } }
                }
            }
        }

        test("open connections stop responding while new ones work") {
            withEngine { engine ->
                val first = WebClient.create(vertx, WebClientOptions(), PoolOptions().setHttp1MaxSize(1))
                suspend fun load(client: WebClient) =
                    client.get(engine.port, "127.0.0.1", "/load").timeout(400).send().coAwait().statusCode()
                load(first) shouldBe 200
                engine.applyFaults(EngineFaults(silenceEstablished = true))
                shouldThrow<Exception> { load(first) }
                load(client) shouldBe 200
            }
        }

        test("a crossed response carries the identifier of another request") {
            withEngine(EngineFaults(crossNextResponses = 1)) { engine ->
                engine.complete("x").getHeader("X-Request-Id") shouldBe "other-than-r"
                engine.complete("x").getHeader("X-Request-Id") shouldBe "r"
            }
        }

        test("a crash ends all runs, and the engine restarts on the same port") {
            withEngine(EngineFaults(restartAfterMillis = 100)) { engine ->
                val concurrentRun = async { runCatching { engine.complete("x", id = "innocent", tokens = 10_000) } }
                eventually(2.seconds) { engine.runs.report("innocent").total shouldBe 1 }
                shouldThrow<Exception> { engine.complete("x [[crash]]") }
                concurrentRun.await().isFailure shouldBe true
                engine.crashes shouldBe 1
                eventually(3.seconds) { engine.complete("x").statusCode() shouldBe 200 }
            }
        }

        test("a cancelled run is not counted as finished") {
            withEngine { engine ->
                val running = async { engine.complete("x", id = "long", tokens = 10_000) }
                eventually(2.seconds) {
                    val status = client.delete(engine.port, "127.0.0.1", "/streams/long").send().coAwait().statusCode()
                    status shouldBe 200
                }
                running.await().statusCode() shouldBe 499
                engine.runs.report("long").requests.single().finished shouldBe 0
            }
        }

        test("time per token grows with the load, and a cached prefix shortens the time to the first token") {
            withEngine(
                EngineSettings("w", capacity = 8, tokenMillisPerRequest = 4.0, promptTokenMillis = 0.2),
            ) { engine ->
                engine.complete("warm up")
                val alone = List(3) { measureTime { engine.complete("x", tokens = 20) } }.min()
                val together = measureTime {
                    List(8) { async { engine.complete("x", id = "p$it", tokens = 20) } }.awaitAll()
                }
                (alone * 2) shouldBeLessThan together
                val prompt = "words ".repeat(1_000)
                val uncached = measureTime { engine.complete(prompt, tokens = 1) }
                val cached = List(3) { measureTime { engine.complete(prompt, tokens = 1) } }.min()
                (cached * 2) shouldBeLessThan uncached
            }
        }

        test("an engine with a cold start rejects requests until the cold start has ended") {
            withEngine(EngineSettings("w", coldStartMillis = 300)) { engine ->
                engine.complete("x").statusCode() shouldBe 503
                eventually(3.seconds) { engine.complete("x").statusCode() shouldBe 200 }
            }
        }

        test("load reports are delayed and state that the engine is leaving") {
            withEngine(EngineFaults(loadReportLagMillis = 60_000, leaving = true)) { engine ->
                engine.complete("x")
                engine.get("/load") shouldBe """{"worker":"w","running":0,"waiting":0,"capacity":16,"leaving":true}"""
            }
        }

        test("cache events are delayed and have gaps") {
            val prompt = "block of sixteen".repeat(4 * 50)
            withEngine(EngineFaults(cacheEventLossShare = 0.5, cacheEventLagMillis = 0)) { engine ->
                engine.complete(prompt)
                val sequences = Regex("\"sequence\":(\\d+)").findAll(engine.get("/cache-events?from=0")).count()
                (sequences in 10..40) shouldBe true
                engine.applyFaults(EngineFaults(cacheEventLagMillis = 60_000))
                engine.get("/cache-events") shouldNotContain "sequence"
            }
        }

        listOf(true to 409, false to 200).forEach { (honoursFencing, status) ->
            test("an order with an older fencing token gets status $status (fencing honoured: $honoursFencing)") {
                withEngine(EngineSettings("w", models = listOf("m"), honoursFencing = honoursFencing)) { engine ->
                    engine.post("/orders", """{"kind":"load","target":"n","fencingToken":5}""") shouldBe 200
                    engine.post("/orders", """{"kind":"unload","target":"m","fencingToken":4}""") shouldBe status
                    engine.complete("x").statusCode() shouldBe if (honoursFencing) 200 else 404
                }
            }
        }
    })
