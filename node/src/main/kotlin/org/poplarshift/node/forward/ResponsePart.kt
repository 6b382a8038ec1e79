package org.poplarshift.node.forward

import io.vertx.core.buffer.Buffer

/** What happens on the body of a response. */
internal sealed interface ResponsePart {
    /** Bytes of the body. */
    data class Chunk(val bytes: Buffer) : ResponsePart

    /** The body is complete. */
    data object End : ResponsePart

    /** The connection was lost within the body. */
    data class Lost(val cause: Throwable) : ResponsePart
}
