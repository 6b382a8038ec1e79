package org.poplarshift.standins.worker

/**
 * How a worker writes one response.
 *
 * @property framing null is the usual one: a length, or chunks for streams
 * @property hasId whether the head names the request
 * @property extent how much of the response is written
 */
data class ResponseForm(
    val content: Content,
    val framing: Framing? = null,
    val hasId: Boolean = true,
    val extent: Extent = Extent.Whole,
) {
    /** What a response says. */
    enum class Content {
        /** The success of the run. */
        SUCCESS,

        /** A status 500 for the run. */
        FAILURE,

        /** A status 503 that promises that the request has not run. */
        REFUSAL,

        /** The response to an earlier request, of the same connection if there was one. */
        EARLIER,
    }

    /** What shows the end of a body. */
    enum class Framing { LENGTH, CHUNKS, CLOSE }

    /** The part of a response that is written; shares are from 0 to 1. */
    sealed interface Extent {
        /** All of it. */
        data object Whole : Extent

        /** A share of the bytes of its head. */
        data class HeadBytes(val share: Double) : Extent

        /** A share of the lines of its head, the status line at least, each with its end. */
        data class HeadLines(val share: Double) : Extent

        /** A share of the bytes of its body, after the whole head. */
        data class BodyBytes(val share: Double) : Extent
    }
}
