package org.poplarshift.standins.worker

/** How a worker responds to one request. */
sealed interface ResponseFault {
    /** Responds as it should. */
    data object None : ResponseFault

    /** Runs the request and answers with [status]. */
    data class Failure(val status: Int) : ResponseFault

    /** Rejects the request without running it. */
    data object Refusal : ResponseFault

    /** Runs the request and closes the connection without a response. */
    data object Lost : ResponseFault

    /** Runs the request and sends nothing more. */
    data object Silence : ResponseFault

    /** Closes or resets the connection after a part of the head or of the body. */
    data class Cut(val isInHead: Boolean, val isReset: Boolean) : ResponseFault

    /** Sends a response without length or chunks, which ends with its connection or a reset of it. */
    data class Unframed(val isReset: Boolean = false) : ResponseFault

    /**
     * Answers twice. The connection is closed after the second response if the first one has no other end or is cut.
     *
     * @property isReset whether the connection is reset after the second response
     */
    data class Twice(
        val first: ResponseForm = ResponseForm(ResponseForm.Content.SUCCESS),
        val second: ResponseForm,
        val moment: Moment,
        val isReset: Boolean = false,
    ) : ResponseFault

    /** Writes the beginning of another head after the complete response. */
    data class Fragment(val moment: Moment) : ResponseFault

    /** When bytes after the response are written. */
    enum class Moment {
        /** With the last bytes of the response. */
        AT_ONCE,

        /** While the connection is idle. */
        IDLE,

        /** When the next request on the connection has been received. */
        NEXT_REQUEST,
    }
}
