package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind
import kotlin.random.Random

/**
 * Guards against callers of requests that may not be repeated who get an error again and again because a worker writes a
 * second response to the request before theirs.
 */
class LostCallerTest :
    FunSpec({
        data class Case(
            val kind: RequestKind,
            val name: String,
            val share: Double,
            val steps: (RawRequest, RawRequest) -> List<RawStep>,
        )
        val ways = listOf<Pair<String, (RawRequest, RawRequest) -> List<RawStep>>>(
            "with its id, before the response" to { request, earlier ->
                listOf(Write(sound(earlier) + sound(request)))
            },
            "without an id, before the response" to { request, earlier ->
                listOf(Write(withIdLines(sound(earlier), "") + sound(request)))
            },
            "with its id, some time before the response" to { request, earlier ->
                listOf(Write(sound(earlier)), Pause(millis = 2), Write(sound(request)))
            },
        )
        val cases = listOf(RequestKind.UNSAFE, RequestKind.ONCE).flatMap { kind ->
            ways.flatMap { (name, steps) -> listOf(0.1, 0.5).map { Case(kind, name, it, steps) } }
        }
        val fleet = FaultyWorkerFleet()
        val services = HashMap<Case, FaultyWorkerFleet.Service>()

        beforeSpec {
            cases.forEachIndexed { index, case ->
                val random = Random(index)
                services[case] = fleet.add("c$index", case.kind) { request ->
                    val earlier = request.previous?.takeIf { random.nextDouble() < case.share }
                    earlier?.let { case.steps(request, it) }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        cases.forEach { case ->
            test("few ${case.kind} requests fail when ${case.share} of responses come again ${case.name}") {
                val service = services.getValue(case)
                var failed = 0
                repeat(CALLS) { number ->
                    // Requests that may be repeated keep on using connections that were used before.
                    val safeId = "safe-$number-${service.name}"
                    fleet.callFirst(service, safeId) shouldBe fleet.ownFirstResponse(service, safeId)
                    val id = "b-$number-${service.name}"
                    val response = fleet.call(service, id)
                    if (response.status == 200) response shouldBe fleet.ownResponse(service, id) else failed++
                }
                val connections = service.faulty.requests.map { it.connection }.distinct().size
                withClue("requests at the faulty worker") { service.faulty.requests.size shouldBeGreaterThan CALLS }
                withClue("failed requests") { failed shouldBeLessThanOrEqual MAXIMUM_FAILED }
                withClue("connections to the faulty worker") { connections shouldBeLessThanOrEqual 2 * CALLS }
            }
        }
    }) {
    private companion object {
        const val CALLS = 200

        // The worker is not known before its first second response.
        const val MAXIMUM_FAILED = 1
    }
}
