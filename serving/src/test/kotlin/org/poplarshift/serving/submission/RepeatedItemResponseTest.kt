package org.poplarshift.serving.submission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.refusal
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against a late copy of the response to an earlier run of an item that is taken for the response to a later run at
 * the same worker: all runs of an item have the same id, and an error counts as a failed run.
 */
class RepeatedItemResponseTest :
    FunSpec({
        data class Case(val name: String, val response: (RawRequest) -> String)
        val cases = listOf(
            Case("an error") { error(it, 500) },
            Case("a refusal") { refusal(it) },
        )
        val fleet = FaultyWorkerFleet()
        val services = HashMap<Case, FaultyWorkerFleet.Service>()

        beforeSpec {
            cases.forEachIndexed { index, case ->
                var isFirstElsewhere = true

                // The run between the two at the faulty worker does not count as failed.
                fun respondElsewhere(request: RawRequest) =
                    if (isFirstElsewhere) listOf(Write(error(request, 504))) else null
                services[case] = fleet.add(
                    "c$index",
                    RequestKind.ITEM,
                    respondElsewhere = { request -> respondElsewhere(request).also { isFirstElsewhere = false } },
                ) { request ->
                    when {
                        request.previous == null && services.getValue(case).requests(request.id).size == 1 ->
                            listOf(Write(case.response(request)))

                        request.previous?.id == request.id ->
                            listOf(Write(case.response(request)), Pause(millis = 30), Write(sound(request)))

                        else -> null
                    }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        cases.forEach { case ->
            test("a copy of ${case.name} to an earlier run of an item is no response to a later run") {
                val service = services.getValue(case)
                val id = "b-${service.name}"
                fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                withClue("runs at the faulty worker") { service.faulty.requests.size shouldBe 2 }
                service.faulty.requests.map { it.previous } shouldBe listOf(null, null)
            }
        }
    })
