package org.poplarshift.serving.ingress

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod

/** A caller's request with its decoded operation and its complete body. */
class IncomingCall(
    val operation: CallerOperation,
    val method: HttpMethod,
    val uri: String,
    val headers: MultiMap,
    val body: Buffer,
)
