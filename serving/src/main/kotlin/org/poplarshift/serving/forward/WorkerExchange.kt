package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** An HTTP request to one worker. */
class OutgoingRequest(val id: String, val method: HttpMethod, val uri: String, val headers: MultiMap, val body: Buffer)

/** The result of sending a request and waiting for the response head. */
sealed interface ExchangeResult {
    /** The response head was received. */
    class Response(val head: ResponseHead, val headers: MultiMap) : ExchangeResult

    /** The connection was lost, or the response could not be parsed. */
    data class ConnectionLost(val reason: String) : ExchangeResult

    /** The response belongs to another request. */
    data object WrongResponse : ExchangeResult

    /** No response head was received within the timeout. */
    data object TimedOut : ExchangeResult
}

/** One HTTP request and its response on one connection. */
class WorkerExchange(private val connection: WorkerConnection, private val forwarding: ForwardingContext) {
    private val recorder = forwarding.unusableResponses
    private var allocation: ResponseMemory.Allocation? = null
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)
    private var response: HttpClientResponse? = null
    private var isComplete = false
    private var responseHead: ResponseHead? = null

    /** Whether the connection can be used for another request. */
    val isReusable: Boolean
        get() = isComplete && responseHead?.closesConnection == false && !endsWithConnection

    /** Whether the response has neither a length nor chunks, so that the end of the connection ends it. */
    val endsWithConnection: Boolean
        get() {
            val headers = response?.headers() ?: return true
            val isChunked = headers["Transfer-Encoding"]?.contains("chunked", ignoreCase = true) == true
            return headers["Content-Length"] == null && !isChunked
        }

    /** The worker's keep-alive time in milliseconds, or null when it does not state one. */
    val keepAliveMillis: Long?
        get() = responseHead?.keepAliveMillis

    /** Records that the received and not yet forwarded bytes are [bytes]. Returns whether more may be received. */
    fun hold(bytes: Int): Boolean {
        val allocated = allocation ?: forwarding.responseMemory.allocate().also { allocation = it }
        return allocated.resize(bytes.toLong())
    }

    /** Frees the memory of the bytes that were received and not forwarded. */
    fun close() {
        allocation?.free()
    }

    /** Sends [request] and waits up to [timeoutMillis] for the response head. */
    suspend fun send(request: OutgoingRequest, timeoutMillis: Long): ExchangeResult {
        val received = try {
            withTimeoutOrNull(timeoutMillis) { sendAndAwaitHead(request) }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            recorder.onNoResponse("connection_lost_before_head")
            return ExchangeResult.ConnectionLost(exception.message ?: exception.javaClass.simpleName)
        }
        if (received == null) {
            recorder.onNoResponse("silent_before_head")
            return ExchangeResult.TimedOut
        }
        response = received
        val head = forwarding.protocol.readResponseHead(received.statusCode(), received.headers())
        if (head.requestId != request.id) recordForeign(request, head)
        // A worker may respond to a request twice. The second response is then received in place of the next one's.
        if (head.requestId != null && head.requestId != request.id) return ExchangeResult.WrongResponse
        responseHead = head
        return ExchangeResult.Response(head, received.headers())
    }

    /** Returns the next part of the body; waits up to [timeoutMillis]. */
    suspend fun next(timeoutMillis: Long): ResponsePart {
        response?.fetch(1)
        val part = withTimeoutOrNull(timeoutMillis) { parts.receive() } ?: return ResponsePart.TimedOut
        if (part == ResponsePart.End) isComplete = true
        if (part is ResponsePart.ConnectionLost) recorder.onNoResponse("connection_lost_in_body")
        return part
    }

    /** Reads the whole body of up to [maximumBytes] within [timeoutMillis]. */
    suspend fun readAll(timeoutMillis: Long, maximumBytes: Int): BodyResult = try {
        withTimeoutOrNull(timeoutMillis) { collect(timeoutMillis, maximumBytes) }
            ?: BodyResult.Incomplete("body took over $timeoutMillis ms")
    } finally {
        close()
    }

    private suspend fun collect(timeoutMillis: Long, maximumBytes: Int): BodyResult {
        val body = Buffer.buffer()
        while (body.length() <= maximumBytes) {
            when (val part = next(timeoutMillis)) {
                is ResponsePart.Bytes -> {
                    body.appendBuffer(part.bytes)
                    if (!hold(body.length())) return BodyResult.Incomplete("no memory for a body of this size")
                }

                ResponsePart.End -> return BodyResult.Complete(body)
                is ResponsePart.ConnectionLost -> return BodyResult.Incomplete(part.reason, isConnectionLost = true)
                ResponsePart.TimedOut -> return BodyResult.Incomplete("silent within the body")
            }
        }
        return BodyResult.Incomplete("body of over $maximumBytes bytes")
    }

    private fun recordForeign(request: OutgoingRequest, head: ResponseHead) {
        val reason = if (head.requestId == null) "no_request_id" else "other_request_id"
        val found = "status ${head.status}, request id ${head.requestId ?: "missing"}"
        recorder.onForeignResponse(
            request.id,
            connection.worker,
            connection.address,
            connection.number,
            reason,
            found,
        )
    }

    private suspend fun sendAndAwaitHead(request: OutgoingRequest): HttpClientResponse {
        val options = RequestOptions().setMethod(request.method).setURI(request.uri).setHeaders(request.headers)
        val pending = connection.http.request(options).coAwait()
        pending.exceptionHandler { logger.debug { "forward: request ${request.id} failed: ${it.message}" } }
        val sent = if (request.body.length() == 0) pending.send() else pending.send(request.body)
        // The response must be paused within the event that delivers it, because the coroutine resumes only in a later
        // event.
        return sent.onSuccess { subscribe(it) }.coAwait()
    }

    private fun subscribe(received: HttpClientResponse) {
        received.pause()
        received.handler { parts.trySend(ResponsePart.Bytes(it)) }
        received.endHandler { parts.trySend(ResponsePart.End) }
        received.exceptionHandler { parts.trySend(ResponsePart.ConnectionLost(it.message ?: it.javaClass.simpleName)) }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}

/** The outcome of reading a whole body. */
sealed interface BodyResult {
    /** The body was received completely. */
    class Complete(val bytes: Buffer) : BodyResult

    /** The body was not received completely. */
    data class Incomplete(val reason: String, val isConnectionLost: Boolean = false) : BodyResult
}
