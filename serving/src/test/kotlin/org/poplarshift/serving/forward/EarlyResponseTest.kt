package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.chunk
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.length
import org.poplarshift.serving.fixture.RawResponses.soundBody
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against the beginning of a response that a worker sends before it has read the request, that it breaks off, and
 * that reaches a caller as a complete response.
 */
class EarlyResponseTest :
    FunSpec({
        class Framing(val name: String, val response: (RawRequest, body: String) -> String)
        val framings = listOf(
            Framing("with neither length nor chunks") { request, body -> head(request, more = STAMP) + body },
            Framing("of a stated length") { request, body -> head(request, more = STAMP + length(body)) + body },
            Framing("in chunks") { request, body -> head(request, more = STAMP + CHUNKED) + chunk(body) + "0\r\n\r\n" },
        )

        // Half of the text of two events would be one whole event.
        val cuts = listOf("half of the body" to { body: String -> body.length / 2 - 3 }, "the last byte" to { _ -> 1 })
        val ends = listOf(RawStep.Finish, RawStep.Reset)
        val interims = listOf("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX: x\r\n\r\n")

        class Case(
            val framing: Framing,
            val missing: Pair<String, (String) -> Int>,
            val end: RawStep,
            val interim: String,
            val kind: RequestKind,
        ) {
            lateinit var service: FaultyWorkerFleet.Service
            val name = "${framing.name} without ${missing.first} to a request of the kind $kind that ends by $end" +
                if (interim.isEmpty()) "" else ", after ${interim.substring(9, 12)}"

            fun respond(request: RawRequest): List<RawStep> {
                val body = soundBody(request.id, kind.isPlain)
                val text = framing.response(request, body).dropLast(missing.second(body))
                return listOf(Write(interim + text), end)
            }
        }

        val cases = framings.flatMap { framing ->
            cuts.flatMap { missing ->
                ends.flatMap { end ->
                    interims.flatMap { interim -> RequestKind.entries.map { Case(framing, missing, end, interim, it) } }
                }
            }
        }.filterNot {
            // The body of an item fits into the buffers of the connection, so its response looks like one that is whole.
            it.kind == RequestKind.ITEM && it.framing === framings[0] && it.end == RawStep.Finish
        }
        val whole = HashMap<RequestKind, FaultyWorkerFleet.Service>()
        val fleet = FaultyWorkerFleet()

        beforeSpec {
            fleet.allowBodies(2 * BODY_BYTES)
            cases.forEachIndexed { index, case ->
                case.service = fleet.add("c$index", case.kind, { case.respond(it) }) { null }
            }
            for (kind in listOf(RequestKind.SAFE, RequestKind.UNSAFE)) {
                val respond = { request: RawRequest ->
                    listOf(Write(framings[1].response(request, soundBody(request.id, isPlain = true))))
                }
                whole[kind] = fleet.add("w$kind", kind, respond) { null }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        cases.forEach { case ->
            test("an early response ${case.name} is not complete") {
                val id = "b-${case.service.name}"
                val response = fleet.call(case.service, id, BODY_BYTES)
                withClue("the faulty worker got it") {
                    case.service.faulty.requests.any { it.id == id } shouldBe true
                }
                when {
                    case.kind.mayRepeat -> response shouldBe fleet.ownResponse(case.service, id)
                    case.kind == RequestKind.UNSAFE -> response.status shouldBe 502
                    else -> response.isComplete shouldBe false
                }
                if (!case.kind.mayRepeat) case.service.requests(id).size shouldBe 1
            }
        }

        for ((kind, name) in listOf(RequestKind.SAFE to "may be repeated", RequestKind.UNSAFE to "runs once")) {
            test("a whole early response to a request that $name is delivered, and its connection is not used again") {
                val service = whole.getValue(kind)
                for (id in listOf("a", "b", "c").map { "$it-${service.name}" }) {
                    fleet.call(service, id, BODY_BYTES) shouldBe fleet.ownResponse(service, id)
                }
                service.faulty.requests.map { it.connection }.distinct().size shouldBe 3
            }
        }
    }) {
    private companion object {
        // More than the buffers of a connection hold, so that the request is still being sent when the response arrives.
        const val BODY_BYTES = 8 * 1024 * 1024
    }
}
