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
import org.poplarshift.serving.fixture.RawResponses.event
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.refusal
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against text of an error in the middle of a stream, and against a stream that ends as if it were complete, when a
 * worker breaks a stream off and the next one answers with something other than the rest of it.
 */
class BrokenStreamTest :
    FunSpec({
        class Framing(val name: String, val head: String, val frame: (String) -> String)
        val length = Framing("a stated length", "Content-Length: 500\r\n") { it }
        val chunks = Framing("chunks", CHUNKED) { chunk(it) }
        val none = Framing("neither length nor chunks", "") { it }

        data class Break(val framing: Framing, val end: RawStep, val isInsideEvent: Boolean) {
            val name = "with ${framing.name} by $end ${if (isInsideEvent) "inside" else "after"} an event"

            fun steps(request: RawRequest): List<RawStep> {
                val events = event(1, request.id) + if (isInsideEvent) event(2, request.id).take(8) else ""
                return listOf(Write(head(request, more = STAMP + framing.head) + framing.frame(events)), end)
            }
        }
        val breaks = listOf(length, chunks, none)
            .flatMap { framing -> listOf(RawStep.Close, RawStep.Reset).map { framing to it } }
            .flatMap { (framing, end) -> listOf(true, false).map { Break(framing, end, it) } }
            // By its framing, this stream is complete.
            .filter { it.framing !== none || it.end != RawStep.Close || it.isInsideEvent }

        class Next(val name: String, val text: (RawRequest) -> String)
        val nextResponses = listOf(
            Next("an error 500") { error(it, 500) },
            Next("an error 500 in chunks") {
                head(it, "500 Error", STAMP + CHUNKED) + chunk("bad ${it.id}") + "0\r\n\r\n"
            },
            Next("a refusal") { refusal(it) },
            Next("an error 503 that does not state that it has not run") { error(it, 503) },
            Next("an error 404") { error(it, 404) },
            Next("a plain success") { head(it, more = STAMP + "Content-Length: 4\r\n") + "good" },
            Next("an empty success of another type") {
                head(it, more = STAMP + "Content-Type: text/plain\r\nContent-Length: 0\r\n")
            },
            Next("events of another type") {
                head(it, more = STAMP + CHUNKED + "Content-Type: text/plain\r\n") + chunk(event(2, "bad")) + "0\r\n\r\n"
            },
            Next("a success with an unended event") {
                head(it, more = STAMP + CHUNKED) + chunk("id: 2\ndata: bad") + "0\r\n\r\n"
            },
            Next("the stream from its start") { sound(RawRequest(it.id, it.path, 0, 0, null)) },
            Next("another request's stream") { withIdLines(sound(it), "Id: other\r\n") },
            Next("a stream without an id") { withIdLines(sound(it), "") },
            Next("nothing") { "" },
        )

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Any, FaultyWorkerFleet.Service>()

        beforeSpec {
            var number = 0
            for (cut in breaks) {
                for (next in nextResponses) {
                    for (kind in listOf(RequestKind.RESUMABLE, RequestKind.ITEM)) {
                        var isNextGiven = false
                        services[Triple(cut, next, kind)] = fleet.add(
                            "c${number++}",
                            kind,
                            respondElsewhere = {
                                // An item goes on until a worker answers it well.
                                val isGiven = isNextGiven
                                isNextGiven = kind == RequestKind.ITEM
                                if (isGiven) null else listOf(Write(next.text(it)), RawStep.Close)
                            },
                        ) { cut.steps(it).takeIf { _ -> kind == RequestKind.RESUMABLE || !isNextGiven } }
                    }
                }
                services[cut] = fleet.add("c${number++}", RequestKind.ONCE) { cut.steps(it) }
            }
            services["empty"] = fleet.add(
                "empty",
                RequestKind.RESUMABLE,
                respondElsewhere = {
                    listOf(
                        Write(head(it, more = STAMP + CHUNKED + "Content-Type: text/event-stream\r\n") + "0\r\n\r\n"),
                    )
                },
            ) { request ->
                val events = chunk(event(1, request.id) + event(2, request.id))
                listOf(Write(head(request, more = STAMP + CHUNKED) + events), RawStep.Close)
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (cut in breaks) {
            nextResponses.forEach { next ->
                test("a stream broken off ${cut.name} is not continued with ${next.name}") {
                    val service = services.getValue(Triple(cut, next, RequestKind.RESUMABLE))
                    val response = fleet.call(service, "b-${service.name}")
                    withClue("resumed after") { service.other.requests.map { it.after } shouldBe listOf(1) }
                    response shouldBe response.copy(200, event(1, "b-${service.name}"), isComplete = false)
                }

                test("an item broken off ${cut.name} does not get ${next.name} into its result") {
                    val service = services.getValue(Triple(cut, next, RequestKind.ITEM))
                    val id = "b-${service.name}"
                    fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                }
            }

            test("a stream broken off ${cut.name} that may not be resumed is not sent to another worker") {
                val service = services.getValue(cut)
                val id = "b-${service.name}"
                val response = fleet.call(service, id)
                response shouldBe response.copy(200, event(1, id), isComplete = false)
                service.requests(id).size shouldBe 1
            }
        }

        test("a stream broken off after its last event is complete when the next worker has no more events") {
            val service = services.getValue("empty")
            val id = "b-${service.name}"
            fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
            service.other.requests.map { it.after } shouldBe listOf(2)
        }
    })
