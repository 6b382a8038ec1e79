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
import org.poplarshift.serving.fixture.RawResponses.soundBody
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against a body that a worker breaks off and whose missing bytes are taken from the head of the second response
 * behind it: a caller would receive them as the end of a complete body.
 */
class SecondResponseInLengthTest :
    FunSpec({
        data class Case(
            val name: String,
            val kinds: List<RequestKind>,
            val isLate: Boolean = false,
            val missingBytes: Int,
            val own: (RawRequest, Int) -> String,
        )
        val plainKinds = RequestKind.entries.filter { it.isPlain }
        val streamKinds = RequestKind.entries.filter { !it.isPlain } - RequestKind.ITEM
        val plain = { request: RawRequest, missing: Int ->
            val body = soundBody(request.id, isPlain = true)
            head(request, more = STAMP + "Content-Length: ${body.length + missing}\r\n") + body
        }
        val chunked = { request: RawRequest, missing: Int ->
            val body = soundBody(request.id, isPlain = true)
            head(request, more = STAMP + CHUNKED) + Integer.toHexString(body.length + missing) + "\r\n" + body
        }
        val stream = { request: RawRequest, missing: Int ->
            val begun = event(2, request.id).trimEnd()
            val size = Integer.toHexString(begun.length + missing)
            head(request, more = STAMP + CHUNKED) + chunk(event(1, request.id)) + size + "\r\n" + begun
        }
        val missingBytes = listOf(5, 12, 20, 30, 45, 60)
        val cases = missingBytes.flatMap { missing ->
            listOf(false, true).flatMap { isLate ->
                listOf(
                    Case("a length", plainKinds, isLate, missing, plain),
                    Case("a chunk", plainKinds, isLate, missing, chunked),
                    Case("a chunk of events", streamKinds, isLate, missing, stream),
                )
            }
        }

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Pair<Case, RequestKind>, FaultyWorkerFleet.Service>()
        fun steps(case: Case, request: RawRequest): List<RawStep> = listOfNotNull(
            Write(case.own(request, case.missingBytes)),
            Pause(LATE_MILLIS).takeIf { case.isLate },
            Write(error(request, 500)),
            RawStep.Close,
        )

        beforeSpec {
            var number = 0
            for (case in cases) {
                for (kind in case.kinds) services[case to kind] = fleet.add("c${number++}", kind) { steps(case, it) }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (case in cases) {
            for (kind in case.kinds) {
                val time = if (case.isLate) "later" else "directly"
                test("${case.missingBytes} bytes of a response $time inside ${case.name} are not passed to $kind") {
                    val service = services.getValue(case to kind)
                    val id = "b-${service.name}"
                    val response = fleet.call(service, id)
                    withClue("the faulty worker got it") { service.faulty.requests.any { it.id == id } shouldBe true }
                    when {
                        kind.mayRepeat -> response shouldBe fleet.ownResponse(service, id)
                        kind.isPlain -> response.status shouldBe 502
                        else -> response shouldBe response.copy(status = 200, body = event(1, id), isComplete = false)
                    }
                    if (!kind.mayRepeat) service.requests(id).size shouldBe 1
                }
            }
        }
    }) {
    private companion object {
        const val LATE_MILLIS = 30L
    }
}
