package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer

/** What happens on the body of an answer. */
sealed interface ResponsePart {
    /** Bytes of the body. */
    class Bytes(val bytes: Buffer) : ResponsePart

    /** The body is complete. */
    data object End : ResponsePart

    /** The connection was lost within the body. */
    data class ConnectionLost(val reason: String) : ResponsePart

    /** Nothing came in the time allowed. */
    data object TimedOut : ResponsePart
}
