package org.poplarshift.serving.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldNotBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.chunk
import org.poplarshift.serving.fixture.RawResponses.event
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RawWorker
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against a request that is refused as one that crashes workers although they have only sent bytes that are no
 * response: all callers of the same path would be refused for as long as strikes are kept.
 */
class MalformedResponseTest :
    FunSpec({
        data class Case(val name: String, val kind: RequestKind, val response: (RawRequest) -> String)
        val cases = listOf(RequestKind.SAFE, RequestKind.RESUMABLE).flatMap { kind ->
            listOf(
                Case("text instead of a head", kind) { "no response\r\n\r\n" },
                Case("text instead of the first chunk", kind) { head(it, more = STAMP + CHUNKED) + "no chunk\r\n" },
                Case("text instead of the second chunk", kind) {
                    head(it, more = STAMP + CHUNKED) + chunk(event(1, it.id)) + "no chunk\r\n"
                },
            )
        }
        val fleet = FaultyWorkerFleet()
        val services = HashMap<Case, FaultyWorkerFleet.Service>()
        val faultyWorkers = HashMap<Case, List<RawWorker>>()

        beforeSpec {
            cases.forEachIndexed { index, case ->
                val service = fleet.add("c$index", case.kind) { listOf(Write(case.response(it))) }
                services[case] = service
                faultyWorkers[case] = List(MORE_WORKERS) { number ->
                    fleet.addFaulty(service, "more-$number-${service.name}") { listOf(Write(case.response(it))) }
                } + service.faulty
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        cases.forEach { case ->
            test("a request of the kind ${case.kind} is not quarantined after ${case.name}") {
                val service = services.getValue(case)
                val id = "b-${service.name}"
                repeat(CALLS) { fleet.call(service, id).status shouldNotBe 503 }
                withClue("workers that have sent other bytes") {
                    faultyWorkers.getValue(case).count { it.requests.isNotEmpty() } shouldBeGreaterThanOrEqual STRIKES
                }
            }
        }
    }) {
    private companion object {
        // Crashes of this many workers quarantine a request.
        const val STRIKES = 3
        const val MORE_WORKERS = 3
        const val CALLS = 6
    }
}
