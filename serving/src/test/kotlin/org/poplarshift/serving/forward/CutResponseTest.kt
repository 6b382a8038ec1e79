package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.chunk
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RawWorker
import org.poplarshift.serving.fixture.RequestKind

/** Guards against a response that a worker breaks off and that reaches a caller as a complete one. */
class CutResponseTest :
    FunSpec({
        val ends = listOf(RawStep.Close, RawStep.Reset)
        fun soundHead(request: RawRequest) = head(request, more = STAMP + "Content-Length: 13\r\n")
        val headLength = soundHead(RawRequest("b-c0-100", "", 0, 0, null)).length

        class Body(val name: String, val text: (RawRequest) -> String)
        val bodies = listOf(
            Body("before its body of a stated length") { head(it, more = STAMP + "Content-Length: 9\r\n") },
            Body("inside its body of a stated length") { head(it, more = STAMP + "Content-Length: 9\r\n") + "good" },
            Body("before its first chunk") { head(it, more = STAMP + CHUNKED) },
            Body("inside a chunk") { head(it, more = STAMP + CHUNKED) + "9\r\ngood" },
            Body("between two chunks") { head(it, more = STAMP + CHUNKED) + chunk("good") },
            Body("before the end of its trailer") {
                head(it, more = STAMP + CHUNKED) + chunk("good") + "0\r\nX: x\r\n"
            },
        )

        // Without a length or chunks, only a reset shows that the response is not complete.
        val unframed = Body("with neither length nor chunks") { head(it, more = STAMP) + "good" }

        data class Case(val body: Body, val end: RawStep)
        val cases = bodies.flatMap { body -> ends.map { Case(body, it) } } + Case(unframed, RawStep.Reset)

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Any, FaultyWorkerFleet.Service>()
        val cutting = HashMap<FaultyWorkerFleet.Service, List<RawWorker>>()
        var number = 0

        suspend fun addHeadServices() {
            for (end in ends) {
                for (kind in RequestKind.entries - RequestKind.ITEM) {
                    // A worker gets no request for a while after it has cut a connection, so each position has its own.
                    val service = fleet.add("c${number++}", kind) { listOf(end) }
                    services[end to kind] = service
                    cutting[service] = List(headLength - 1) { index ->
                        fleet.addFaulty(service, "${service.name}-$index") { request ->
                            listOf(Write(soundHead(request).take(index + 1)), end)
                        }
                    }
                }
            }
        }

        beforeSpec {
            addHeadServices()
            for (case in cases) {
                for (kind in RequestKind.entries) {
                    services[case to kind] = fleet.add("c${number++}", kind) { request ->
                        listOf(Write(case.body.text(request)), case.end)
                            .takeIf { request.id.startsWith("b") && request.previous != null }
                    }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (end in ends) {
            for (kind in RequestKind.entries - RequestKind.ITEM) {
                test("a head that is cut anywhere by $end is no response to a request of the kind $kind") {
                    val service = services.getValue(end to kind)
                    val workers = cutting.getValue(service)
                    var sent = 100
                    while (workers.any { it.requests.isEmpty() }) {
                        val id = "b-${service.name}-${sent++}"
                        withClue("$id, only ${workers.count { it.requests.isEmpty() }} workers left") {
                            val response = fleet.call(service, id)
                            val runs = workers.flatMap { it.requests }.count { it.id == id } + service.requests(id).size
                            if (service.other.requests.any { it.id == id }) {
                                response shouldBe fleet.ownResponse(service, id)
                            } else {
                                response.status shouldBe 502
                            }
                            if (!kind.mayRepeat) runs shouldBe 1
                            sent shouldBeLessThan MAXIMUM_SENT
                        }
                    }
                }
            }
        }

        for (kind in RequestKind.entries) {
            cases.forEach { case ->
                test("a response that ends ${case.body.name} by ${case.end} is not complete for the kind $kind") {
                    val service = services.getValue(case to kind)
                    val id = "b-${service.name}"
                    fleet.callFirst(service, "a-${service.name}")
                    val response = fleet.call(service, id)
                    withClue("the faulty worker got it") { service.faulty.requests.any { it.id == id } shouldBe true }
                    when {
                        kind.mayRepeat -> response shouldBe fleet.ownResponse(service, id)
                        kind == RequestKind.UNSAFE -> response.status shouldBe 502
                        else -> response.isComplete shouldBe false
                    }
                    if (!kind.mayRepeat) service.requests(id).size shouldBe 1
                }
            }
        }
    }) {
    private companion object {
        const val MAXIMUM_SENT = 900
    }
}
