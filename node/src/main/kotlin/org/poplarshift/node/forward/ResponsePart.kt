package org.poplarshift.node.forward

import io.vertx.core.buffer.Buffer

/** An event while a response body is read. */
internal sealed interface ResponsePart {
    /** Bytes of the body. */
    data class Chunk(val bytes: Buffer) : ResponsePart

    /** The body is complete. */
    data object End : ResponsePart

    /** The connection was lost before the end of the body. */
    data class Lost(val cause: Throwable) : ResponsePart
}
