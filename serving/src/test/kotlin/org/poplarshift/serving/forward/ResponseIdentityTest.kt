package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.chunk
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.refusal
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against a response on a kept connection that is taken for that of a request to which it does not belong: callers
 * would get another caller's response, be told that a request has not run which has, or run it twice.
 */
class ResponseIdentityTest :
    FunSpec({
        fun write(text: String): List<RawStep> = listOf(Write(text))
        fun beforeOwn(request: RawRequest, text: String, own: String = sound(request)) =
            listOf(Write(text), Pause(30), Write(own))
        fun idLines(request: RawRequest, lines: String) = write(withIdLines(sound(request), lines))

        val interimHead = "HTTP/1.1 103 Early Hints\r\n"

        // The beginning of a head joins the head that follows it, whose id then names the request.
        val joined = listOf(
            "HTT",
            "HTTP/1.1 ",
            "HTTP/1.1 20",
            "HTTP/1.1 200",
            "HTTP/1.1 200 ",
            "HTTP/1.1 200 O",
            "HTTP/1.1 200 OK\r",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nStam",
            "HTTP/1.1 200 OK\r\nStamp:",
            "HTTP/1.1 200 OK\r\nStamp: 1\r",
            "HTTP/1.1 200 OK\r\nStamp: 1\r\n",
            "HTTP/1.1 200 OK\r\nStamp: 1\r\nX-Other: ",
            "HTTP/1.1 200 OK\r\nContent-Length: 1",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y",
        ).map { beginning ->
            Case("'${beginning.replace("\r", "CR").replace("\n", "LF")}' before an error") { request, _ ->
                beforeOwn(request, beginning, own = error(request, 500))
            }
        } + listOf(
            Case("the beginning of a refusal before the response") { request, _ ->
                beforeOwn(request, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nX: ")
            },
            Case("the beginning of an interim response before the response") { request, _ ->
                beforeOwn(request, "HTTP/1.1 102 Processing\r\nX: ")
            },
        )
        val unnamed = listOf(
            Case("an earlier response without an id") { request, earlier ->
                beforeOwn(request, withIdLines(sound(earlier), ""))
            },
            Case("an earlier response without an id, in one segment with the right one") { request, earlier ->
                write(withIdLines(sound(earlier), "") + sound(request))
            },
            Case("an earlier refusal without an id", first = { write(refusal(it)) }) { request, earlier ->
                beforeOwn(request, withIdLines(refusal(earlier), ""))
            },
            Case("an earlier error without an id", first = { write(error(it, 500)) }) { request, earlier ->
                beforeOwn(request, withIdLines(error(earlier, 500), ""))
            },
            Case("an earlier response with its id") { request, earlier -> beforeOwn(request, sound(earlier)) },
            Case("an earlier refusal with its id", first = { write(refusal(it)) }) { request, earlier ->
                beforeOwn(request, refusal(earlier))
            },
            Case("a response without an id") { request, _ -> idLines(request, "") },
            Case("a refusal without an id") { request, _ -> write(withIdLines(refusal(request), "")) },
            Case("a status 429 without an id") { request, _ ->
                write(withIdLines(error(request, 429, "Not-Run: 1\r\n"), ""))
            },
            Case("a status 421 without an id") { request, _ ->
                write(withIdLines(error(request, 421, "Not-Run: 1\r\n"), ""))
            },
            Case("an error without an id") { request, _ -> write(withIdLines(error(request, 500), "")) },
            Case("the id twice") { request, _ -> idLines(request, "Id: ${request.id}\r\nId: ${request.id}\r\n") },
            Case("the id and an earlier one") { request, earlier ->
                idLines(request, "Id: ${request.id}\r\nId: ${earlier.id}\r\n")
            },
            Case("an earlier id and the right one") { request, earlier ->
                idLines(request, "Id: ${earlier.id}\r\nId: ${request.id}\r\n")
            },
            Case("two ids in one header") { request, earlier ->
                idLines(request, "Id: ${request.id}, ${earlier.id}\r\n")
            },
            Case("the id in upper case") { request, _ -> idLines(request, "Id: ${request.id.uppercase()}\r\n") },
            Case("the id with a space inside") { request, _ ->
                idLines(request, "Id: ${request.id.take(1)} ${request.id.drop(1)}\r\n")
            },
            Case("a longer id") { request, _ -> idLines(request, "Id: ${request.id}0\r\n") },
            Case("an empty id") { request, _ -> idLines(request, "Id:\r\n") },
            Case("the id in a trailer") { request, _ ->
                val head = withIdLines(head(request, more = STAMP + CHUNKED), "")
                write(head + chunk("id: 1\ndata: x\n\n") + "0\r\nId: ${request.id}\r\n\r\n")
            },
            Case("an interim response of an earlier request") { request, earlier ->
                write("${interimHead}Id: ${earlier.id}\r\n\r\n" + sound(request))
            },
            Case("a status 100 of an earlier request") { request, earlier ->
                write("HTTP/1.1 100 Continue\r\nId: ${earlier.id}\r\n\r\n" + sound(request))
            },
            Case("a status 101 with the id") { request, _ ->
                write(head(request, "101 Other", "Upgrade: x\r\nConnection: upgrade\r\n") + "id: 1\ndata: x\n\n")
            },
            Case("a head over the size limit") { request, _ ->
                write(head(request, more = STAMP + "X: ${"x".repeat(70_000)}\r\nContent-Length: 0\r\n"))
            },
            Case("a late chunk of an earlier response") { request, earlier ->
                write(chunk("good ${earlier.id}") + sound(request))
            },
            Case("the late end of an earlier response") { request, earlier ->
                write(chunk("good ${earlier.id}") + "0\r\n\r\n" + sound(request))
            },
            Case("late text of an earlier response") { request, earlier ->
                write("good ${earlier.id}" + sound(request))
            },
            Case("late lines of an earlier response") { request, earlier ->
                write("good ${earlier.id}\r\n\r\n" + sound(request))
            },
        )
        val named = listOf(
            Case("the id between spaces") { request, _ -> idLines(request, "Id:   ${request.id}  \r\n") },
            Case("a status 100 before the response") { request, _ ->
                write("HTTP/1.1 100 Continue\r\n\r\n" + sound(request))
            },
            Case("a status 102 before the response") { request, _ ->
                write("HTTP/1.1 102 Processing\r\n\r\n" + sound(request))
            },
            Case("a status 102 with the id before the response") { request, _ ->
                beforeOwn(request, head(request, "102 Processing"))
            },
            Case("several interim responses") { request, _ ->
                write("$interimHead\r\n" + head(request, "103 Early Hints") + "$interimHead\r\n" + sound(request))
            },
            Case("the protocol version of a gateway") { request, _ ->
                write(sound(request).replaceFirst(STAMP, STAMP + "Via: HTTP/1.1 gateway\r\n"))
            },
            Case("the response twice") { request, _ -> write(sound(request) + sound(request)) },
            Case("the response twice, late") { request, _ -> beforeOwn(request, sound(request)) },
        )
        val failed = listOf(
            Case("an error and then a success") { request, _ -> write(error(request, 500) + sound(request)) },
            Case("an error and later a success") { request, _ -> beforeOwn(request, error(request, 500)) },
        )

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Pair<Case, RequestKind>, FaultyWorkerFleet.Service>()

        beforeSpec {
            var number = 0
            for (case in unnamed + joined + named + failed) {
                for (kind in RequestKind.entries) {
                    services[case to kind] = fleet.add("c${number++}", kind) { case.respond(it) }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        /** Sends a request, one that gets the response of [case], and a third one. Returns the response to the second. */
        suspend fun callAll(case: Case, kind: RequestKind, check: suspend FaultyWorkerFleet.Service.(String) -> Unit) {
            val service = services.getValue(case to kind)
            val name = service.name
            fleet.callFirst(service, "a-$name") shouldBe fleet.ownFirstResponse(service, "a-$name")
            // A worker that has refused a request counts as full for a while.
            if (case.first != null) delay(FULL_MILLIS)
            service.check("b-$name")
            withClue("the connection was kept") {
                service.faulty.requests.first { it.id == "b-$name" }.previous?.id shouldBe "a-$name"
            }
            fleet.callFirst(service, "c-$name") shouldBe fleet.ownFirstResponse(service, "c-$name")
        }

        for (kind in RequestKind.entries) {
            (unnamed + joined).forEach { case ->
                test("${case.name} is no response to a request of the kind $kind") {
                    callAll(case, kind) { id ->
                        val response = fleet.call(this, id)
                        if (kind.mayRepeat) {
                            response shouldBe fleet.ownResponse(this, id)
                        } else {
                            response.status shouldBe 502
                            response.body shouldNotContain "a-$name"
                            withClue("workers that may have run it") { requests(id).size shouldBe 1 }
                        }
                    }
                }
            }

            named.forEach { case ->
                test("a response with ${case.name} is used for a request of the kind $kind") {
                    callAll(case, kind) { id ->
                        fleet.call(this, id) shouldBe fleet.ownResponse(this, id)
                        withClue("workers that may have run it") { requests(id).size shouldBe 1 }
                    }
                }
            }

            failed.forEach { case ->
                test("${case.name} is an error to a request of the kind $kind") {
                    callAll(case, kind) { id ->
                        val response = fleet.call(this, id)
                        if (kind.mayRepeat) {
                            response shouldBe fleet.ownResponse(this, id)
                        } else {
                            response.status shouldBe 500
                            response.body shouldBe "bad $id"
                            withClue("workers that may have run it") { requests(id).size shouldBe 1 }
                        }
                    }
                }
            }
        }
    }) {
    /**
     * A response of a worker.
     *
     * @property first the response to the first request, null if it is answered correctly
     * @property second the response to the second request on the same connection, given that and the first request
     */
    private class Case(
        val name: String,
        val first: ((RawRequest) -> List<RawStep>)? = null,
        val second: (RawRequest, RawRequest) -> List<RawStep>,
    ) {
        /** Returns the steps of the response to [request], or null if it is answered correctly. */
        fun respond(request: RawRequest): List<RawStep>? = when (request.id.first()) {
            'a' -> first?.invoke(request)
            'b' -> request.previous?.takeIf { it.id.startsWith("a") }?.let { second(request, it) }
            else -> null
        }
    }

    private companion object {
        const val FULL_MILLIS = 900L
    }
}
