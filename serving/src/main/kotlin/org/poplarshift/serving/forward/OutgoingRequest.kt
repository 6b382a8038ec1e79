package org.poplarshift.serving.forward

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.internal.buffer.BufferInternal
import io.netty.handler.codec.http.HttpMethod as NettyMethod

/** An HTTP request to one worker. */
class OutgoingRequest(
    val id: String,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
) {
    /** The request as it is sent to the worker at [address], which is the host unless the headers state one. */
    internal fun toHttp(address: String): FullHttpRequest {
        val sent = DefaultHttpHeaders()
        headers.forEach { (name, value) -> sent.add(name, value) }
        if (!sent.contains("Host")) sent.set("Host", address)
        if (body.length() > 0 || method in METHODS_WITH_BODY) sent.set("Content-Length", body.length().toString())
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            NettyMethod.valueOf(method.name()),
            uri,
            // Not a copy, which would double the memory of a large body.
            Unpooled.unreleasableBuffer((body as BufferInternal).byteBuf.duplicate()),
            sent,
            EmptyHttpHeaders.INSTANCE,
        )
    }

    private companion object {
        // The length of an empty body is stated where a body is usual.
        val METHODS_WITH_BODY = setOf(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH)
    }
}
