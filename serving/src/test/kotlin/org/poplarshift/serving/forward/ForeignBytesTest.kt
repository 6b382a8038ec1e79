package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.refusal
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against bytes after a complete response that become a part of the next one: the beginning of a success or of a
 * refusal would be completed by the headers of an error, which name the request, and its caller would get the wrong status.
 */
class ForeignBytesTest :
    FunSpec({
        val success = "HTTP/1.1 200 OK\r\nStamp: 1\r\nX: "
        val refused = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nX: "
        val lateMillis = 30L

        /** Bytes after the response to a request. If they join the next response, that is [next] on the connection. */
        data class Case(
            val name: String,
            val isLate: Boolean = false,
            val next: (RawRequest, RawRequest) -> String = { request, _ -> sound(request) },
            val bytes: (RawRequest) -> String,
        )
        val failing = { request: RawRequest, _: RawRequest -> error(request, 500) }
        val cases = listOf(
            Case("the same response without an id") { withIdLines(sound(it), "") },
            Case("the same response") { sound(it) },
            Case("a refusal without an id") { withIdLines(refusal(it), "") },
            Case("the beginning of a success", next = failing) { success },
            Case("the beginning of a refusal") { refused },
            Case("one letter") { "H" },
            Case("an empty line") { "\r\n" },
            Case("text") { "x".repeat(2_000) },
            Case(
                "half a response without an id",
                next = { request, earlier -> withIdLines(sound(earlier), "").drop(HALF) + sound(request) },
            ) { withIdLines(sound(it), "").take(HALF) },
        ).flatMap { listOf(it, it.copy(name = "${it.name}, later", isLate = true)) }

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Pair<Case, RequestKind>, FaultyWorkerFleet.Service>()

        fun respond(case: Case, request: RawRequest): List<RawStep>? {
            val earlier = request.previous?.takeIf { it.id.startsWith("a") }
            return when {
                request.id.startsWith("a") && case.isLate ->
                    listOf(Write(sound(request)), Pause(lateMillis), Write(case.bytes(request)))

                request.id.startsWith("a") -> listOf(Write(sound(request) + case.bytes(request)))
                earlier != null -> listOf(Write(case.next(request, earlier)))
                else -> null
            }
        }

        beforeSpec {
            var number = 0
            for (case in cases) {
                for (kind in RequestKind.entries) {
                    services[case to kind] = fleet.add("c${number++}", kind) { respond(case, it) }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (kind in RequestKind.entries) {
            cases.forEach { case ->
                test("after ${case.name} a connection is not used for a request of the kind $kind") {
                    val service = services.getValue(case to kind)
                    val id = "b-${service.name}"
                    val firstId = "a-${service.name}"
                    fleet.callFirst(service, firstId) shouldBe fleet.ownFirstResponse(service, firstId)
                    if (case.isLate) delay(2 * lateMillis)
                    fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                    val request = service.requests(id).single()
                    withClue("request before on the connection") { request.previous shouldBe null }
                }
            }
        }
    }) {
    private companion object {
        const val HALF = 30
    }
}
