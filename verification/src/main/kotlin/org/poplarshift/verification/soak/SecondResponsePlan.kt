package org.poplarshift.verification.soak

import org.poplarshift.standins.worker.ResponseFault
import org.poplarshift.standins.worker.ResponseForm
import kotlin.random.Random

/**
 * Draws how workers respond that answer a share of their requests twice, and fail some on purpose.
 *
 * A wrong status is only visible if some requests fail.
 *
 * @param share share of the requests that get two responses
 */
class SecondResponsePlan(private val random: Random, private val share: Double) {
    /** How a worker responds to the next request. */
    fun next(): ResponseFault {
        val drawn = random.nextDouble()
        return when {
            drawn < share -> twice()
            drawn < share + FAILED_SHARE -> ResponseFault.Failure(FAILED)
            drawn < share + FAILED_SHARE + RESET_SHARE -> ResponseFault.Unframed(isReset = true)
            else -> ResponseFault.None
        }
    }

    private fun twice() = ResponseFault.Twice(
        first = first(),
        second = ResponseForm(
            content = ResponseForm.Content.entries.random(random),
            framing = framing(),
            hasId = random.nextBoolean(),
            extent = extent(),
        ),
        moment = ResponseFault.Moment.entries.random(random),
        isReset = random.nextInt(RESET) == 0,
    )

    // Without a length and chunks a first response can't be cut: the end of the connection is that of the body.
    private fun first(): ResponseForm {
        val content = FIRST_CONTENTS.random(random)
        return if (random.nextInt(BROKEN) == 0) {
            ResponseForm(content, CUT_FRAMINGS.random(random), extent = bodyBytes())
        } else {
            ResponseForm(content, framing())
        }
    }

    // Half of the responses are framed as usual: the connection of one without length carries no later request.
    private fun framing(): ResponseForm.Framing? =
        if (random.nextBoolean()) null else ResponseForm.Framing.entries.random(random)

    private fun extent(): ResponseForm.Extent = when (random.nextInt(EXTENTS)) {
        0, 1 -> ResponseForm.Extent.HeadBytes(random.nextDouble())
        2 -> ResponseForm.Extent.HeadLines(random.nextDouble())
        3 -> bodyBytes()
        else -> ResponseForm.Extent.Whole
    }

    private fun bodyBytes() = ResponseForm.Extent.BodyBytes(random.nextDouble())

    private companion object {
        const val FAILED = 500
        const val FAILED_SHARE = 0.2
        const val RESET_SHARE = 0.01
        const val BROKEN = 8
        const val RESET = 10
        const val EXTENTS = 6

        val CUT_FRAMINGS = listOf(ResponseForm.Framing.CHUNKS, ResponseForm.Framing.LENGTH)

        // Successes are the most frequent, so that enough requests are served.
        val FIRST_CONTENTS = listOf(
            ResponseForm.Content.SUCCESS,
            ResponseForm.Content.SUCCESS,
            ResponseForm.Content.SUCCESS,
            ResponseForm.Content.FAILURE,
            ResponseForm.Content.REFUSAL,
        )
    }
}
