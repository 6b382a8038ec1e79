package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.event
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.refusal
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against the head of a second response that is relayed as an event: a stream with neither length nor chunks ends
 * with its connection, so whatever a worker writes after it would belong to the stream.
 */
class ResponseInStreamTest :
    FunSpec({
        data class Case(val name: String, val pauseMillis: Long?, val events: Int, val response: (RawRequest) -> String)
        val cases = listOf(null, 30L).flatMap { pause ->
            listOf(1, 2).flatMap { events ->
                listOf(
                    Case("an error", pause, events) { error(it, 500) },
                    Case("a refusal", pause, events) { refusal(it) },
                    Case("the response once more", pause, events) { sound(it) },
                )
            }
        }.map {
            it.copy(name = "${it.name} ${if (it.pauseMillis == null) "directly" else "later"} after event ${it.events}")
        }

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Pair<Case, RequestKind>, FaultyWorkerFleet.Service>()
        val kinds = listOf(RequestKind.RESUMABLE, RequestKind.ONCE, RequestKind.ITEM)

        fun steps(case: Case, request: RawRequest): List<RawStep> {
            val events = (1..case.events).joinToString("") { event(it, request.id) }
            val own = Write(head(request, more = STAMP) + events)
            return listOfNotNull(own, case.pauseMillis?.let { Pause(it) }, Write(case.response(request)), RawStep.Close)
        }

        beforeSpec {
            var number = 0
            for (case in cases) {
                for (kind in kinds) {
                    services[case to kind] = fleet.add("c${number++}", kind) { steps(case, it) }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (kind in kinds) {
            cases.forEach { case ->
                test("${case.name} is no part of a stream of the kind $kind") {
                    val service = services.getValue(case to kind)
                    val id = "b-${service.name}"
                    val response = fleet.call(service, id)
                    if (kind.mayRepeat) {
                        response shouldBe fleet.ownResponse(service, id)
                    } else {
                        val events = (1..case.events).joinToString("") { event(it, id) }
                        response shouldBe response.copy(status = 200, body = events, isComplete = false)
                    }
                }
            }
        }
    })
