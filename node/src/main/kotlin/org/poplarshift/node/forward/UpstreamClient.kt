package org.poplarshift.node.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.UpstreamTimeouts
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.Verdict

/** Sends one request to one worker. */
interface UpstreamClient {
    /**
     * Sends [request] to [worker] and relays the response to [sink]. Cancelling the coroutine closes the connection
     * and, for a model worker, cancels the stream.
     */
    suspend fun send(worker: Worker, request: UpstreamRequest, sink: ResponseSink): Verdict
}

/**
 * A request to a worker, without the caller's key.
 *
 * @property kind only model workers have streams to cancel, and must echo the request id; a plain service may omit the
 * id from its responses
 * @property requestId sent as `X-Request-Id`; a response with another value is dropped
 */
data class UpstreamRequest(
    val requestId: String,
    val method: HttpMethod,
    val path: String,
    val headers: MultiMap,
    val body: Buffer,
    val timeouts: UpstreamTimeouts,
    val kind: UpstreamKind = UpstreamKind.MODEL,
)

/** Receives the parts of a response. */
interface ResponseSink {
    /** Called once, before any body. */
    suspend fun start(status: Int, headers: MultiMap)

    /** Called for each part of the body; suspends while the receiver is slow. */
    suspend fun write(chunk: Buffer)

    /** Called when the response is complete, and never after a lost connection. */
    suspend fun end()
}
