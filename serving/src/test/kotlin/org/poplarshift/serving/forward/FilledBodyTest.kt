package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.FaultyWorkerFleet
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.CHUNKED
import org.poplarshift.serving.fixture.RawResponses.STAMP
import org.poplarshift.serving.fixture.RawResponses.error
import org.poplarshift.serving.fixture.RawResponses.head
import org.poplarshift.serving.fixture.RawResponses.length
import org.poplarshift.serving.fixture.RawResponses.refusal
import org.poplarshift.serving.fixture.RawResponses.sound
import org.poplarshift.serving.fixture.RawResponses.soundBody
import org.poplarshift.serving.fixture.RawResponses.withIdLines
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawStep.Pause
import org.poplarshift.serving.fixture.RawStep.Write
import org.poplarshift.serving.fixture.RequestKind

/**
 * Guards against a body that breaks off before its stated length and is filled up by a second response on the same connection:
 * it has the stated length, so a caller would receive it as complete.
 */
class FilledBodyTest :
    FunSpec({
        /**
         * [missing] bytes of the first body are filled up with the beginning of [second]; null: with all of it.
         *
         * @param ownEnd the end of the first body, before the second response
         */
        data class Case(
            val name: String,
            val missing: Int?,
            val pauseMillis: Long = 0,
            val ownEnd: String = "",
            val kinds: List<RequestKind> = listOf(RequestKind.SAFE, RequestKind.UNSAFE),
            val second: (RawRequest) -> String,
        )

        fun earlier(request: RawRequest) = checkNotNull(request.previous)
        fun nameless(request: RawRequest) = withIdLines(error(request, 500), "")

        val seconds = mapOf<String, (RawRequest) -> String>(
            "an error to the request" to { error(it, 500) },
            "a refusal of the request" to { refusal(it) },
            "another success of the request" to { sound(it) },
            "the success of an earlier request" to { sound(earlier(it)) },
            "an error without an id" to { nameless(it) },
            "the success of a request of another node" to { withIdLines(sound(it), "Id: elsewhere\r\n") },
        )
        val cases = seconds.flatMap { (name, second) ->
            // The head of the second response ends after about 60 bytes.
            listOf(5, 9, 17, 40, 58).flatMap { missing ->
                listOf(0L, 30L).map { pause -> Case("$name after $pause ms", missing, pause, second = second) }
            }
        } + seconds.filterKeys { "an id" !in it && "another node" !in it }.map { (name, second) ->
            Case(name, missing = null, second = second)
        }
        val afterOtherEnds = seconds.flatMap { (name, second) ->
            listOf(" " to "a space", "\"" to "a quotation mark", "\r\n" to "a line").flatMap { (end, endName) ->
                listOf(17, 58).map { Case("$name behind $endName", it, ownEnd = end, second = second) }
            }
        }
        val streamKinds = RequestKind.entries.filter { !it.isPlain }
        fun onlyHead(response: String) = response.substringBefore("\r\n\r\n") + "\r\n\r\n"
        val streams = listOf(
            Case("an error inside a chunk", missing = 400, kinds = streamKinds) { error(it, 500) + "x".repeat(400) },
            Case("the head of an error", missing = null, kinds = streamKinds) { onlyHead(error(it, 500)) },
            Case("the head of an error without an id", missing = null, kinds = streamKinds) { onlyHead(nameless(it)) },
        )

        fun plainSteps(request: RawRequest, case: Case): List<RawStep> {
            val own = "good ${request.id}${case.ownEnd}"
            val second = case.second(request)
            val stated = head(request, more = STAMP + length(own + "x".repeat(case.missing ?: second.length)))
            return listOf(Write(stated + own), Pause(case.pauseMillis + 1), Write(second))
        }

        fun streamSteps(request: RawRequest, case: Case): List<RawStep> {
            val own = soundBody(request.id, isPlain = false).dropLast(CUT_BYTES)
            val second = case.second(request)
            val size = Integer.toHexString(own.length + (case.missing ?: second.length))
            return listOf(Write(head(request, more = STAMP + CHUNKED) + "$size\r\n$own"), Write(second + "bad"))
        }

        val fleet = FaultyWorkerFleet()
        val services = HashMap<Pair<Case, RequestKind>, FaultyWorkerFleet.Service>()
        beforeSpec {
            var number = 0
            for (case in cases + afterOtherEnds + streams) {
                for (kind in case.kinds) {
                    services[case to kind] = fleet.add("c${number++}", kind) { request ->
                        when {
                            request.id.startsWith("a-") -> null
                            kind.isPlain -> plainSteps(request, case)
                            else -> streamSteps(request, case)
                        }
                    }
                }
            }
            fleet.start()
        }
        afterSpec { fleet.close() }

        for (case in cases + afterOtherEnds + streams) {
            for (kind in case.kinds) {
                test(
                    "${case.missing ?: "all"} bytes of ${case.name} are no part of a response to a request of the kind $kind",
                ) {
                    val service = services.getValue(case to kind)
                    fleet.callFirst(service, "a-${service.name}")
                    val id = "b-${service.name}"
                    val response = fleet.call(service, id)
                    withClue("the faulty worker got it") { service.faulty.requests.any { it.id == id } shouldBe true }
                    when {
                        kind.mayRepeat -> response shouldBe fleet.ownResponse(service, id)
                        response.status == 200 -> {
                            response.isComplete shouldBe false
                            response.body shouldBe soundBody(id, isPlain = false).take(response.body.length)
                        }

                        else -> response.status shouldBe 502
                    }
                }
            }
        }
    }) {
    private companion object {
        // The end of the last event and the last letters of its text.
        const val CUT_BYTES = 4
    }
}
