package org.poplarshift.node.batch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.node.fixture.FakeLogService
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.FaultyLog
import org.poplarshift.ports.LogService
import org.poplarshift.wire.OnlineDemand
import org.poplarshift.wire.WireJson
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** Tests requirements R1, R2, R3 and R10 of batch jobs on a real node with an in-memory log. */
class BatchJobTest :
    FunSpec({
        suspend fun withFleet(log: LogService = FakeLogService(), test: suspend BatchFixture.() -> Unit) =
            BatchFixture(log).use { it.test() }

        test("every item of a job has one result, although a third of the append outcomes are unknown") {
            val log = FaultyLog(FakeLogService(), seed = 11)
            withFleet(log) {
                val node = start()
                log.unknownRate = 0.3
                upload(node, "night", modelItems(450)).statusCode() shouldBe 201
                await(node, "night") { it.state == JobPhase.ENDED }.done shouldBe 450
                val identifiers = results(node, "night", "limit=200") + results(node, "night", "from=200&follow=true")
                identifiers shouldContainExactlyInAnyOrder List(450) { "item$it" }
            }
        }

        test("the same content is the same job and other content is a conflict") {
            withFleet {
                val node = start()
                upload(node, "night", modelItems(3)).statusCode() shouldBe 201
                upload(node, "night", modelItems(3)).statusCode() shouldBe 200
                val conflict = upload(node, "night", modelItems(4))
                conflict.statusCode() shouldBe 409
                conflict.body() shouldContain "not_run"
                await(node, "night") { it.state == JobPhase.ENDED }
                engine.runs shouldHaveSize 3
            }
        }

        listOf(
            "line 2: body.model must be" to "{\"id\":\"a\",\"body\":{\"model\":\"writer\",\"prompt\":\"\"}}\n" +
                "{\"id\":\"b\",\"body\":{\"model\":\"none\",\"prompt\":\"\"}}",
            "line 1: must be" to "{\"id\":7}",
            "at least one item" to "\n\n",
            "unique within the job" to "{\"id\":\"a\",\"body\":{\"model\":\"writer\",\"prompt\":\"\"}}\n".repeat(2),
        ).forEach { (message, body) ->
            test("an upload is refused as a whole, naming the fault: $message") {
                withFleet {
                    val answer = upload(start(), "night", body)
                    answer.statusCode() shouldBe 400
                    answer.body() shouldContain message
                }
            }
        }

        test("no item starts after a cancel, and running items are cancelled at the engine") {
            withFleet {
                val node = start()
                engine.answer = {
                    if (it.method().name() == "DELETE") FakeWorker.echo(it) else BatchFixture.neverRespond(it)
                }
                upload(node, "night", modelItems(100))
                withTimeout(BatchFixture.DEADLINE_MILLIS) { while (engine.runs.size < 7) delay(5) }
                node.call("DELETE", "/v1/batches/night", key).statusCode() shouldBe 200
                val started = engine.runs.size
                delay(300)
                engine.runs.size shouldBe started
                status(node, "night").cancelled shouldBe 100
                engine.received.filter { it.method == "DELETE" }.size shouldBe started
            }
        }

        test("a label call is sent once, also when its outcome is unknown") {
            withFleet {
                val node = start()
                service.answer = { request ->
                    if (request.path().endsWith("3")) request.connection().close() else FakeWorker.echo(request)
                }
                upload(node, "labels", labelItems(30)).statusCode() shouldBe 201
                val status = await(node, "labels") { it.state == JobPhase.ENDED }
                service.runs.map { it.uri } shouldContainExactlyInAnyOrder List(30) { "/labels/$it" }
                status.failed shouldBe 3
            }
        }

        test(
            "two nodes that both take themselves for the holder give each item one result and send a label call once",
        ) {
            withFleet(FaultyLog(FakeLogService(), delayMillis = 5)) {
                val first = start()
                val second = startAnother()
                upload(first, "labels", labelItems(60)).statusCode() shouldBe 201
                upload(second, "night", modelItems(300)).statusCode() shouldBe 201
                for (jobId in listOf("labels", "night")) {
                    await(first, jobId) { it.state == JobPhase.ENDED }
                    await(second, jobId) { it.state == JobPhase.ENDED }
                    val lines = first.call("GET", "/v1/batches/$jobId/results", key).body()
                    second.call("GET", "/v1/batches/$jobId/results", key).body() shouldBe lines
                    results(first, jobId).toSet() shouldHaveSize status(first, jobId).items
                }
                service.runs.map { it.uri }.groupingBy { it }.eachCount().values.max() shouldBe 1
            }
        }

        test("while the log is down jobs are refused as not run, and results of running items are appended later") {
            val log = FaultyLog(FakeLogService())
            withFleet(log) {
                val node = start()
                engine.answer = { request -> fleet.schedule(200) { FakeWorker.echo(request) } }
                upload(node, "night", modelItems(7)).statusCode() shouldBe 201
                withTimeout(BatchFixture.DEADLINE_MILLIS) { while (engine.runs.size < 7) delay(5) }
                log.isDown = true
                val refused = upload(node, "late", modelItems(2))
                refused.statusCode() shouldBe 503
                refused.body() shouldContain "not_run"
                delay(600)
                log.isDown = false
                await(node, "night") { it.state == JobPhase.ENDED }.done shouldBe 7
                engine.runs shouldHaveSize 7
            }
        }

        // Guards against 404 for a job that another node has just acknowledged.
        listOf("GET" to "", "GET" to "/results", "DELETE" to "").forEach { (method, path) ->
            test("$method $path finds a job whose record this node has not read yet") {
                withFleet {
                    val first = start()
                    val second = startAnother()
                    engine.answer = BatchFixture::neverRespond
                    second.log.readDelayMillis = 400
                    delay(500)
                    upload(first, "night", modelItems(3)).statusCode() shouldBe 201
                    second.call(method, "/v1/batches/night$path", key).statusCode() shouldBe 200
                    val state = if (method == "DELETE") JobPhase.CANCELLED else JobPhase.RUNNING
                    await(first, "night") { it.state == state }
                }
            }

            test("$method $path of an unknown job is 503 while the log can't be read, and then 404") {
                withFleet {
                    val node = start()
                    node.log.isCutOff = true
                    node.call(method, "/v1/batches/night$path", key).statusCode() shouldBe 503
                    node.log.isCutOff = false
                    node.call(method, "/v1/batches/night$path", key).statusCode() shouldBe 404
                }
            }
        }

        test("batch keeps to its limit and yields within 100 ms of a peer's demand") {
            withFleet {
                val node = start()
                engine.answer = {
                    if (it.method().name() == "DELETE") FakeWorker.echo(it) else BatchFixture.neverRespond(it)
                }
                upload(node, "night", modelItems(50))
                withTimeout(BatchFixture.DEADLINE_MILLIS) { while (engine.runs.size < 7) delay(5) }
                delay(100)
                // The capacity of 8 minus the headroom of 1.
                engine.runs.size shouldBe 7
                val startedNanos = System.nanoTime()
                postDemand(node.peersAddress, OnlineDemand("peer", mapOf("w-0" to 5)))
                withTimeout(BatchFixture.DEADLINE_MILLIS) {
                    while (engine.received.count { it.method == "DELETE" } < 5) delay(1)
                }
                (System.nanoTime() - startedNanos) / 1_000_000 shouldBeLessThan 100L
                node.node.batch.tasks.runningAt("w-0") shouldBeLessThanOrEqual 2
            }
        }

        test("66,000 items are accepted with fewer than 400 appends") {
            val log = FaultyLog(FakeLogService())
            withFleet(log) {
                val node = start()
                engine.answer = BatchFixture::neverRespond
                val before = log.appends.get()
                upload(node, "night", modelItems(66_000)).statusCode() shouldBe 201
                (log.appends.get() - before) shouldBeLessThan 400
            }
        }
    }) {
    private companion object {
        fun postDemand(address: String, demand: OnlineDemand) {
            val body = WireJson.strict.encodeToString(OnlineDemand.serializer(), demand)
            val request = HttpRequest.newBuilder(URI("http://$address/peer/demand"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
            HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()).statusCode() shouldBe 200
        }
    }
}
