package org.poplarshift.serving.submission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against an item that is given up because of an error behind whose body a second response follows: it is not known
 * which of the two is the worker's word.
 */
class SecondItemResponseTest :
    FunSpec({
        data class Case(val name: String, val status: Int)
        val cases = listOf(Case("a failed run", 500), Case("an item that can't be done", 422))
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
                    val first = head(request, "${case.status} Error", "Stamp: 1\r\n") + "bad ${request.id}"
                    listOf(Write(first + sound(request)), RawStep.Close).takeIf { runs++ == 0 }
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
