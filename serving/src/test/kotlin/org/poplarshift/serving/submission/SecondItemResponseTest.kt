package org.poplarshift.serving.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against an item that is given up because of an error behind whose body a second response follows: it is not known
 * which of the two is the worker's word.
 */
class SecondItemResponseTest :
    FunSpec({
        fun nameless(request: RawRequest) = withIdLines(sound(request), "")

        data class Case(
            val name: String,
            val status: Int,
            val framing: String = "",
            val chunk: String = "",
            val second: (RawRequest) -> String = {
                sound(it)
            },
        )
        val cases = listOf(
            Case("a failed run", 500),
            Case("an item that can't be done", 422),
            Case("a failed run whose body is cut inside a chunk", 500, CHUNKED, "40\r\n", ::nameless),
            Case("an item that can't be done, whose body is cut inside a chunk,", 422, CHUNKED, "40\r\n", ::nameless),
        )
        val fleet = FaultyWorkerFleet()
        val services = HashMap<Case, FaultyWorkerFleet.Service>()

        beforeSpec {
            cases.forEachIndexed { index, case ->
                var runsElsewhere = 0
                var runs = 0
                services[case] = fleet.add(
                    "c$index",
                    RequestKind.ITEM,
                    // One counted error, which together with another one would reach the limit of two.
                    respondElsewhere = { listOf(Write(error(it, 500))).takeIf { runsElsewhere++ == 0 } },
                ) { request ->
                    val start = head(request, "${case.status} Error", "Stamp: 1\r\n" + case.framing)
                    val first = "$start${case.chunk}bad ${request.id}"
                    listOf(Write(first + case.second(request)), RawStep.Close).takeIf { runs++ == 0 }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        cases.forEach { case ->
            test("${case.name} does not count if a second response follows it") {
                val service = services.getValue(case)
                val id = "b-${service.name}"
                fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                service.faulty.requests.size shouldBe 2
            }
        }
    })
