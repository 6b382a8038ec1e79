package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
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
 * Guards against a late copy of the response to an earlier run of a request that arrives after other whole requests on the
 * same connection: it has the id of the request that is sent again, as a batch item is.
 */
class RepeatedIdTest :
    FunSpec({
        data class Case(val kind: RequestKind, val name: String, val between: Int, val copy: (RawRequest) -> String)

        fun earlier(request: RawRequest) = generateSequence(request.previous) { it.previous }

        // More requests than one connection carries are sent in one case only, because they take longer.
        val cases =
            listOf(RequestKind.UNSAFE, RequestKind.ONCE, RequestKind.SAFE, RequestKind.RESUMABLE).flatMap { kind ->
                listOf(0, 1, 2, 20).flatMap { between ->
                    listOf(
                        Case(kind, "an error", between) { error(it, 500) },
                        Case(kind, "a refusal", between) { refusal(it) },
                    )
                }
            } + Case(RequestKind.UNSAFE, "an error", between = 600) { error(it, 500) }
        val fleet = FaultyWorkerFleet()
        val services = HashMap<Case, FaultyWorkerFleet.Service>()

        beforeSpec {
            cases.forEachIndexed { index, case ->
                services[case] = fleet.add("c$index", case.kind) { request ->
                    if (earlier(request).none { it.id == request.id }) {
                        null
                    } else {
                        listOf(Write(case.copy(request)), Pause(millis = 30), Write(sound(request)))
                    }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        cases.forEach { case ->
            test("a copy of ${case.name} after ${case.between} others is no response to a later ${case.kind} request") {
                val service = services.getValue(case)
                val id = "b-${service.name}"
                fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                repeat(case.between) { number ->
                    val other = "other-$number-${service.name}"
                    fleet.callFirst(service, other) shouldBe fleet.ownFirstResponse(service, other)
                }
                fleet.call(service, id) shouldBe fleet.ownResponse(service, id)
                withClue("requests on the connections") {
                    service.faulty.requests.size shouldBe case.between + 2
                    service.faulty.requests.forEach { request ->
                        earlier(request).map { it.id }.toList() shouldNotContain request.id
                    }
                    if (case.between in 1..20) {
                        service.faulty.requests.dropLast(1).map { it.connection }.distinct().size shouldBe 1
                    }
                }
            }
        }
    })
