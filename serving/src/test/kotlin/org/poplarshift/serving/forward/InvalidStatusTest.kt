package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.length
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against a response with a status that HTTP does not have and that reaches a caller, and against workers that are
 * unavailable to other requests because they have answered one request like this.
 */
class InvalidStatusTest :
    FunSpec({
        val statuses = listOf("000", "001", "099", "600", "700", "999", "1000", "70000")
        val fleet = FaultyWorkerFleet()
        val services = HashMap<Any, FaultyWorkerFleet.Service>()
        val persistent = HashMap<RequestKind, FaultyWorkerFleet.Service>()
        var number = 0

        beforeSpec {
            for (kind in RequestKind.entries) {
                for (status in statuses) {
                    services[status to kind] = fleet.add("c${number++}", kind) { request ->
                        // An item is sent again until it has a result.
                        val isFirst =
                            services.getValue(status to kind).faulty.requests.count { it.id == request.id } == 1
                        val body = "bad ${request.id}"
                        listOf(Write(head(request, "$status Odd", STAMP + length(body)) + body))
                            .takeIf { request.id.startsWith("b") && (kind != RequestKind.ITEM || isFirst) }
                    }
                }
                persistent[kind] = fleet.add(
                    "p${number++}",
                    kind,
                    respondElsewhere = { request ->
                        listOf(Write(head(request, "000 Odd", STAMP + length("")))).takeIf {
                            request.id.startsWith("b")
                        }
                    },
                ) { request ->
                    listOf(Write(head(request, "000 Odd", STAMP + length("")))).takeIf { request.id.startsWith("b") }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (kind in RequestKind.entries) {
            for (status in statuses) {
                test("a response with status $status is none to a request of the kind $kind") {
                    val service = services.getValue(status to kind)
                    val id = "b-${service.name}"
                    val response = fleet.call(service, id)
                    withClue("the faulty worker got it") { service.faulty.requests.any { it.id == id } shouldBe true }
                    if (kind.mayRepeat) {
                        response shouldBe fleet.ownResponse(service, id)
                    } else {
                        response.status shouldBe
                            502
                    }
                    if (!kind.mayRepeat) service.requests(id).size shouldBe 1
                }
            }

            // Each worker was suspect after three responses, so that 108 calls got 503 after 12 of them.
            test("workers that answer some requests of the kind $kind with status 000 serve the others") {
                val service = persistent.getValue(kind)
                repeat(FAULTY_CALLS) { if (kind != RequestKind.ITEM) fleet.call(service, "b-$it-${service.name}") }
                repeat(SOUND_CALLS) { call ->
                    val id = "a-$call-${service.name}"
                    fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                }
            }
        }
    }) {
    private companion object {
        const val FAULTY_CALLS = 12
        const val SOUND_CALLS = 10
    }
}
