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
     * Sends [request] to [worker] and passes the answer to [sink]. Cancelling the coroutine cancels the stream at the
     * engine and closes the connection.
     */
    suspend fun send(worker: Worker, request: UpstreamRequest, sink: ResponseSink): Verdict
}

/**
 * A request to a worker, without the caller's key.
 *
 * @property kind only model engines have streams to cancel, and must echo the request id; a plain service may leave the
 * id out of its responses
 * @property requestId sent as `X-Request-Id`; an answer with another value is dropped
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

/** Takes the parts of an answer. */
interface ResponseSink {
    /** Called once, before any body. */
    suspend fun start(status: Int, headers: MultiMap)

    /** Called for each part of the body; suspends while the receiver is slow. */
    suspend fun write(chunk: Buffer)

    /** Called when the answer is complete, and never after a cut stream. */
    suspend fun end()
}
