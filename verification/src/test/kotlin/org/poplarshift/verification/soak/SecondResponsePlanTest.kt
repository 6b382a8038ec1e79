package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.poplarshift.standins.worker.ResponseFault
import org.poplarshift.standins.worker.ResponseForm
import kotlin.random.Random

/** Guards against forms of second responses that a soak never draws, and against draws that a seed can't repeat. */
class SecondResponsePlanTest :
    FunSpec({
        val drawn = draw(seed = 1)
        val twice = drawn.filterIsInstance<ResponseFault.Twice>()

        test("a seed draws the same responses again") {
            draw(seed = 1) shouldBe drawn
        }

        test("the share of the requests is answered twice, and failures are drawn besides") {
            twice.size shouldBeInRange 2_700..3_300
            drawn.count { it == ResponseFault.Failure(500) } shouldBeInRange 1_750..2_250
        }

        test(
            "a response that another one follows is cut in chunks and with a length, but not where the connection ends it",
        ) {
            twice.filter {
                it.first.extent != ResponseForm.Extent.Whole
            }.map { it.first.framing }.distinct() shouldContainExactlyInAnyOrder
                listOf(ResponseForm.Framing.CHUNKS, ResponseForm.Framing.LENGTH)
        }

        data class Case(val name: String, val matches: (ResponseFault.Twice) -> Boolean)

        fun isCutInHead(form: ResponseForm) = form.extent is ResponseForm.Extent.HeadBytes
        context("a soak has this form") {
            withData(
                nameFn = { it.name },
                Case("success, then failure") { it.hasContents(SUCCESS, FAILURE) },
                Case("failure, then success") { it.hasContents(FAILURE, SUCCESS) },
                Case("refusal, then refusal") { it.hasContents(REFUSAL, REFUSAL) },
                Case("head of a success without an id, cut") {
                    it.second.content == SUCCESS && !it.second.hasId && isCutInHead(it.second)
                },
                Case("head of a success with an id, cut at the end of a line") {
                    it.second.content == SUCCESS && it.second.hasId && it.second.extent is ResponseForm.Extent.HeadLines
                },
                Case("earlier response, cut in its body") {
                    it.second.content == EARLIER && it.second.extent is ResponseForm.Extent.BodyBytes
                },
                Case("response that the connection ends, then failure") {
                    it.first.framing == ResponseForm.Framing.CLOSE && it.second.content == FAILURE
                },
                Case("broken stream, then failure") {
                    it.first.extent is ResponseForm.Extent.BodyBytes && it.second.content == FAILURE
                },
                Case("reset after the second response") { it.isReset },
            ) { case -> twice.any(case.matches).shouldBeTrue() }
        }

        test("each moment and framing is drawn") {
            twice.map { it.moment } shouldContainAll ResponseFault.Moment.entries
            twice.map { it.second.framing } shouldContainAll ResponseForm.Framing.entries + null
        }
    }) {
    private companion object {
        val SUCCESS = ResponseForm.Content.SUCCESS
        val FAILURE = ResponseForm.Content.FAILURE
        val REFUSAL = ResponseForm.Content.REFUSAL
        val EARLIER = ResponseForm.Content.EARLIER

        fun draw(seed: Int): List<ResponseFault> {
            val plan = SecondResponsePlan(Random(seed), share = 0.3)
            return List(10_000) { plan.next() }
        }

        fun ResponseFault.Twice.hasContents(first: ResponseForm.Content, second: ResponseForm.Content) =
            this.first.content == first && this.second.content == second
    }
}
