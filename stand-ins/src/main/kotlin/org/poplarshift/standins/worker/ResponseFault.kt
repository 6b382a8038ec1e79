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

    /** Sends a response without length or chunks, which ends with its connection. */
    data object Unframed : ResponseFault

    /** Writes the complete response once more, with or without the id of its request. */
    data class Repeated(val moment: Moment, val hasId: Boolean) : ResponseFault

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
