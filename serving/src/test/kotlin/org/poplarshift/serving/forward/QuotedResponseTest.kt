package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.chunk
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.length
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind
import org.poplarshift.serving.fixture.TestFleet.CallerResponse

/** Guards against a body that quotes a response and is taken for one that is followed by a second response. */
class QuotedResponseTest :
    FunSpec({
        val plainKinds = RequestKind.entries.filter { it.isPlain }
        val streamKinds = RequestKind.entries.filter { !it.isPlain } - RequestKind.ITEM

        data class Case(val name: String, val isUnframed: Boolean = true, val body: String)
        val quoted = error(RawRequest("e-1", "", 0, 0, null), 500)
        val unnamed = "HTTP/1.1 500 Error\r\nServer: x\r\nContent-Length: 3\r\n\r\nbad"
        val plainCases = listOf(
            Case("a response of another server, at its end", body = "The server wrote:\r\n\r\n$unnamed"),
            Case("a response of another server, at its beginning", body = "$unnamed\r\nas it was down."),
            Case("a response between quotation marks", body = "It wrote \"$unnamed\"."),
            Case("a response inside a tag", body = "<pre>$unnamed</pre>"),
            Case("a response behind a space", body = "It wrote $unnamed"),
            Case("a response with its id in lines of text", body = quoted.replace("\r\n", "\n")),
            Case("a response with its id behind text in lines of text", body = "text" + quoted.replace("\r\n", "\n")),
            Case("an escaped response", body = "{\"text\":\"good${quoted.replace("\r\n", "\\r\\n")}\"}"),
            Case("an indented response with its id", body = quoted.prependIndent("    ").replace("\n", "\r\n")),
            Case("a cited response with its id", body = quoted.lines().joinToString("\r\n") { "> $it" }),
            Case("a request with its id", body = "textGET / HTTP/1.1\r\nId: e-1\r\n\r\n"),
            Case(
                "a status line before text",
                body = "HTTP/1.1 404 Not Found\r\nmeans that nothing is there. Id: 1\r\n",
            ),
            Case("a status line at its end", body = "The status line is HTTP/1.1 200 OK"),
            Case("a status line and its line end", body = "The status line is\r\nHTTP/1.1 200 OK\r\n"),
            Case("a version at its end", body = "It speaks HTTP/1.1"),
            Case("a cut head at its end", body = "The head is\r\nHTTP/1.1 200 OK\r\nContent-Type: te"),
            Case("a name at its end", body = "The method is ServeHTTP"),
            Case("a whole response with its id", isUnframed = false, body = "good$quoted"),
            Case("a cut response with its id", isUnframed = false, body = "good" + quoted.dropLast(5)),
            Case("the beginning of a response", isUnframed = false, body = "goodHTTP/1.1 500 Er"),
        )

        fun lines(vararg data: String) = data.withIndex().joinToString("") { (index, text) ->
            "id: ${index + 1}\r\n$text\r\n\r\n"
        }
        val dataLines = quoted.lines().joinToString("\r\n") { "data: $it" }
        val streamCases = listOf(
            Case("a response in its data", body = lines("data: good", dataLines)),
            Case("a response in data without spaces", body = lines(dataLines.replace("data: ", "data:"))),
            Case("a status line before the id", body = "data: HTTP/1.1 200 OK\r\nid: 1\r\n\r\n"),
            Case("a status line behind text", body = lines("data: goodHTTP/1.1 200 OK", "data: x")),
            Case("an escaped response", body = lines("data: {\"text\":\"x${quoted.replace("\r\n", "\\r\\n")}\"}")),
            Case("a version at the end of its data", body = lines("data: x HTTP/1.1")),
        )

        class Framing(val name: String, val response: (RawRequest, String) -> List<RawStep>)
        val framings = listOf(
            Framing("a length") { request, body -> listOf(Write(head(request, more = STAMP + length(body)) + body)) },
            Framing("chunks") { request, body ->
                listOf(Write(head(request, more = STAMP + CHUNKED) + chunk(body) + "0\r\n\r\n"))
            },
            Framing("neither") { request, body -> listOf(Write(head(request, more = STAMP) + body), RawStep.Close) },
        )

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Triple<Case, Framing, RequestKind>, FaultyWorkerFleet.Service>()

        val quotingEvent = lines("data: the server wrote HTTP/1.1 500 Error")
        lateinit var early: FaultyWorkerFleet.Service

        fun combinations(cases: List<Case>, kinds: List<RequestKind>) = cases.flatMap { case ->
            framings.filter { case.isUnframed || it.name != "neither" }.flatMap { framing ->
                kinds.map { kind -> Triple(case, framing, kind) }
            }
        }
        val combinations = combinations(plainCases, plainKinds) + combinations(streamCases, streamKinds)

        beforeSpec {
            combinations.forEachIndexed { index, combination ->
                val (case, framing, kind) = combination
                services[combination] = fleet.add("c$index", kind) { framing.response(it, case.body) }
            }
            early =
                fleet.add("early", RequestKind.ONCE) {
                    listOf(Write(head(it, more = STAMP) + quotingEvent), RawStep.Reset)
                }
            fleet.start()
        }
        afterSpec { fleet.close() }

        test("an event that quotes a status line is passed on before the stream goes on") {
            // A reset discards what has not been passed on.
            fleet.call(early, "b-early") shouldBe CallerResponse(200, quotingEvent, isComplete = false)
        }

        combinations.forEach { combination ->
            val (case, framing, kind) = combination
            test("${case.name} is passed on unchanged with ${framing.name} to a caller of the kind $kind") {
                val service = services.getValue(combination)
                val id = "b-${service.name}"
                val response = fleet.call(service, id)
                withClue("second responses") { fleet.unusableResponses("second_response") shouldBe 0 }
                withClue("the quoting worker got it") { service.faulty.requests.map { it.id } shouldBe listOf(id) }
                response shouldBe CallerResponse(200, case.body, isComplete = true)
            }
        }
    })
