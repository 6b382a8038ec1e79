package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.chunk
import org.poplarshift.serving.fixture.RawResponses.event
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.length
import org.poplarshift.serving.fixture.RawResponses.soundBody
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream

/**
 * Guards against a second response that becomes a part of the first one's body: a body with neither length nor chunks ends
 * with its connection, so a caller would receive the text of an error or of another caller's response as a part of a success.
 */
class SecondResponseTest :
    FunSpec({
        data class Case(
            val name: String,
            val kinds: List<RequestKind> = RequestKind.entries,
            val steps: (RawRequest) -> List<RawStep>,
        )

        fun own(request: RawRequest): String {
            val isPlain = request.path.contains("safe/")
            return head(request, more = STAMP) + soundBody(request.id, isPlain)
        }

        class Status(val line: String, val headers: String)
        class Framing(val name: String, val header: (String) -> String, val body: (String) -> String)
        val statuses = listOf(
            Status("200 OK", STAMP),
            Status("500 Error", STAMP),
            Status("503 Full", "Not-Run: 1\r\n"),
        )
        val framings = listOf(
            Framing("sized", { length(it) }, { it }),
            Framing("chunked", { CHUNKED }, { chunk(it) + "0\r\n\r\n" }),
            Framing("without a length", { "" }, { it }),
        )
        val ids = mapOf<String, (RawRequest) -> String>(
            "the same id" to { "Id: ${it.id}\r\n" },
            "another id" to { "Id: e-${it.id}\r\n" },
            "no id" to { "" },
        )
        fun second(request: RawRequest, status: Status, framing: Framing, idLines: String): String {
            val text = "second ${request.id}"
            val response = head(request, status.line, status.headers + framing.header(text)) + framing.body(text)
            return withIdLines(response, idLines)
        }
        fun failed(request: RawRequest) =
            second(request, statuses[1], framings[0], ids.getValue("the same id")(request))

        val responses = statuses.flatMap { status ->
            framings.flatMap { framing ->
                ids.flatMap { (idName, id) ->
                    val name = "${framing.name} ${status.line} with $idName"
                    listOf(
                        Case("$name, directly") {
                            listOf(Write(own(it) + second(it, status, framing, id(it))), RawStep.Close)
                        },
                        Case("$name, later") {
                            val late = second(it, status, framing, id(it))
                            listOf(Write(own(it)), Pause(LATE_MILLIS), Write(late), RawStep.Close)
                        },
                    )
                }
            }
        }
        val withErrors = statuses.drop(1).map { status ->
            Case("a 200 behind a ${status.line}") {
                val body = "bad ${it.id}" + second(it, statuses[0], framings[0], "Id: ${it.id}\r\n")
                listOf(Write(head(it, status.line, STAMP) + body), RawStep.Close)
            }
        }
        val insideAnEvent = Case("a response inside an event", kinds = RequestKind.entries.filter { !it.isPlain }) {
            listOf(Write(head(it, more = STAMP) + event(1, it.id).trimEnd() + failed(it)), RawStep.Close)
        }
        val onALine = Case("an error on a line of an event", kinds = insideAnEvent.kinds) {
            val error = second(it, statuses[1], framings[0], "")
            listOf(Write(head(it, more = STAMP) + event(1, it.id).trimEnd() + "\n" + error), RawStep.Close)
        }
        val plainKinds = RequestKind.entries.filter { it.isPlain }
        val plainBodies = listOf(
            Case("a response behind a line", plainKinds) {
                listOf(Write(own(it) + "\r\n" + failed(it)), RawStep.Close)
            },
            Case("a response without a body before it", plainKinds) {
                listOf(Write(head(it, more = STAMP) + failed(it)), RawStep.Close)
            },
            Case("a response behind compressed bytes", plainKinds) {
                val head = head(it, more = STAMP + "Content-Encoding: gzip\r\n")
                listOf(Write(head + gzip(soundBody(it.id, isPlain = true)) + failed(it)), RawStep.Close)
            },
            Case("a response behind a large body", plainKinds) {
                listOf(Write(own(it) + "x".repeat(LARGE_BYTES) + failed(it)), RawStep.Close)
            },
            Case("a response behind the beginning of another one", plainKinds) {
                listOf(Write(own(it) + "HTTP/1.1 200 OK\r\nStam" + failed(it)), RawStep.Close)
            },
        )
        val cases = responses + withErrors + insideAnEvent + onALine + plainBodies

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Pair<Any, RequestKind>, FaultyWorkerFleet.Service>()
        val sampleHead = failed(RawRequest("b-c0-100", "", 0, 0, null))

        // The id of a request states the position at which the second response is cut or split.
        fun position(request: RawRequest) = request.id.substringAfterLast('-').toInt()
        val cut = { request: RawRequest ->
            listOf(Write(own(request) + failed(request).take(position(request))), RawStep.Close)
        }
        val split = { request: RawRequest ->
            val text = failed(request)
            val beginning = Write(own(request) + text.take(position(request)))
            listOf(beginning, Pause(SPLIT_MILLIS), Write(text.drop(position(request))), RawStep.Close)
        }

        beforeSpec {
            var number = 0
            for (case in cases) {
                for (kind in case.kinds) {
                    val service = fleet.add("c${number++}", kind) { case.steps(it) }
                    services[case to kind] = service
                }
            }
            for (kind in RequestKind.entries) {
                services["cut" to kind] = fleet.add("cut-${kind.prefix.trim('/')}", kind) { cut(it) }
                services["split" to kind] = fleet.add("split-${kind.prefix.trim('/')}", kind) { split(it) }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        suspend fun check(service: FaultyWorkerFleet.Service, id: String) {
            val response = fleet.call(service, id)
            withClue("the faulty worker got it") { service.faulty.requests.any { it.id == id } shouldBe true }
            when {
                service.kind.mayRepeat -> response shouldBe fleet.ownResponse(service, id)
                response.status == 200 -> {
                    service.kind shouldBe RequestKind.ONCE
                    val isOwnText = soundBody(id, isPlain = false).startsWith(response.body)
                    response shouldBe response.copy(isComplete = false)
                    withClue(response.body) { isOwnText shouldBe true }
                }

                else -> response.status shouldBe 502
            }
            if (!service.kind.mayRepeat) service.requests(id).size shouldBe 1
        }

        for (case in cases) {
            case.kinds.forEach { kind ->
                test("${case.name} is no part of a response to a request of the kind $kind") {
                    val service = services.getValue(case to kind)
                    check(service, "b-${service.name}")
                }
            }
        }

        for (kind in RequestKind.entries) {
            test("a second response to a request of the kind $kind is counted") {
                val service = services.getValue("cut" to kind)
                val before = fleet.unusableResponses("second_response")
                fleet.call(service, "a-${service.name}-${sampleHead.length}")
                fleet.unusableResponses("second_response") shouldBe before + 1
            }

            // The letters HTTP may be the end of a text, and inside a stream any bytes behind an event show its end.
            val firstCut = if (kind.isPlain) "HTTP/".length else 1
            test("a second response that is cut anywhere is no part of a response to a request of the kind $kind") {
                val service = services.getValue("cut" to kind)
                forEachPosition(firstCut..sampleHead.length) { position ->
                    withClue("cut at $position") { check(service, "b-${service.name}-$position") }
                }
            }
            test("a second response that is split anywhere is no part of a response to a request of the kind $kind") {
                val service = services.getValue("split" to kind)
                forEachPosition(1 until sampleHead.length) { position ->
                    withClue("split at $position") { check(service, "b-${service.name}-$position") }
                }
            }
        }
    }) {
    private companion object {
        const val LATE_MILLIS = 30L
        const val SPLIT_MILLIS = 10L
        const val LARGE_BYTES = 300_000
        const val CONCURRENT_CALLS = 20

        // Reading the results of items one after another takes half a minute.
        suspend fun forEachPosition(positions: IntRange, action: suspend (Int) -> Unit) = coroutineScope {
            positions.chunked(CONCURRENT_CALLS).forEach { part -> part.map { async { action(it) } }.awaitAll() }
        }

        fun gzip(text: String): String {
            val bytes = ByteArrayOutputStream()
            GZIPOutputStream(bytes).use { it.write(text.toByteArray()) }
            return bytes.toString(Charsets.ISO_8859_1)
        }
    }
}
