package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer

/** The result of reading the next part of a response body. */
sealed interface ResponsePart {
    /** A chunk of the body. */
    class Bytes(val bytes: Buffer) : ResponsePart

    /** The body is complete. */
    data object End : ResponsePart

    /** The connection was lost before the body was complete. */
    data class ConnectionLost(val reason: String) : ResponsePart

    /** The worker has sent bytes that can't belong to the body. */
    data class Malformed(val reason: String) : ResponsePart

    /** The worker has sent another response behind the body. */
    data class Foreign(val identity: ResponseIdentity.Foreign) : ResponsePart

    /** Nothing was received within the timeout. */
    data object TimedOut : ResponsePart
}
