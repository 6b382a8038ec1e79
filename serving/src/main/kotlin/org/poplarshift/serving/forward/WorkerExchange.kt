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

/** A request to one worker. */
class OutgoingRequest(val id: String, val method: HttpMethod, val uri: String, val headers: MultiMap, val body: Buffer)

/** The head of an answer, or why there is none. */
sealed interface ExchangeResult {
    /** The worker answers. */
    class Response(val head: ResponseHead, val headers: MultiMap) : ExchangeResult

    /** The connection was lost, or what came is no answer. */
    data class ConnectionLost(val reason: String) : ExchangeResult

    /** The answer is one to another request. */
    data object WrongResponse : ExchangeResult

    /** Nothing came in the time allowed. */
    data object TimedOut : ExchangeResult
}

/** One request on one connection, from its first byte to the end of the answer. */
class WorkerExchange(private val connection: WorkerConnection, private val protocol: WorkerProtocol) {
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)
    private var response: HttpClientResponse? = null
    private var isComplete = false
    private var responseHead: ResponseHead? = null

    /** Whether the connection may serve another request. */
    val isReusable: Boolean
        get() = isComplete && responseHead?.closesConnection == false && hasExplicitFraming()

    /** How long the worker keeps the connection, or null when it does not say. */
    val keepAliveMillis: Long?
        get() = responseHead?.keepAliveMillis

    /** Sends [request] and waits up to [timeoutMillis] for the head of the answer. */
    suspend fun send(request: OutgoingRequest, timeoutMillis: Long): ExchangeResult {
        val received = try {
            withTimeoutOrNull(timeoutMillis) { sendAndAwaitHead(request) } ?: return ExchangeResult.TimedOut
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            return ExchangeResult.ConnectionLost(exception.message ?: exception.javaClass.simpleName)
        }
        response = received
        val head = protocol.readResponseHead(received.statusCode(), received.headers())
        // A worker may send a second answer, which then stands where that of the next request is expected.
        if (head.requestId != null && head.requestId != request.id) return ExchangeResult.WrongResponse
        responseHead = head
        return ExchangeResult.Response(head, received.headers())
    }

    /** The next part of the body; waits up to [timeoutMillis]. */
    suspend fun next(timeoutMillis: Long): ResponsePart {
        response?.fetch(1)
        val part = withTimeoutOrNull(timeoutMillis) { parts.receive() } ?: return ResponsePart.TimedOut
        if (part == ResponsePart.End) isComplete = true
        return part
    }

    /** The whole body, or why there is none. */
    suspend fun readAll(timeoutMillis: Long, maximumBytes: Int): BodyResult =
        withTimeoutOrNull(timeoutMillis) { collect(timeoutMillis, maximumBytes) }
            ?: BodyResult.Incomplete("body took over $timeoutMillis ms")

    private suspend fun collect(timeoutMillis: Long, maximumBytes: Int): BodyResult {
        val body = Buffer.buffer()
        while (body.length() <= maximumBytes) {
            when (val part = next(timeoutMillis)) {
                is ResponsePart.Bytes -> body.appendBuffer(part.bytes)
                ResponsePart.End -> return BodyResult.Complete(body)
                is ResponsePart.ConnectionLost -> return BodyResult.Incomplete(part.reason, isConnectionLost = true)
                ResponsePart.TimedOut -> return BodyResult.Incomplete("silent within the body")
            }
        }
        return BodyResult.Incomplete("body of over $maximumBytes bytes")
    }

    private suspend fun sendAndAwaitHead(request: OutgoingRequest): HttpClientResponse {
        val options = RequestOptions().setMethod(request.method).setURI(request.uri).setHeaders(request.headers)
        val pending = connection.http.request(options).coAwait()
        pending.exceptionHandler { logger.debug { "exchange: request ${request.id}: ${it.message}" } }
        val sent = if (request.body.length() == 0) pending.send() else pending.send(request.body)
        // The response is paused in the event that delivers it; the coroutine resumes in a later event.
        return sent.onSuccess { subscribe(it) }.coAwait()
    }

    private fun subscribe(received: HttpClientResponse) {
        received.pause()
        received.handler { parts.trySend(ResponsePart.Bytes(it)) }
        received.endHandler { parts.trySend(ResponsePart.End) }
        received.exceptionHandler { parts.trySend(ResponsePart.ConnectionLost(it.message ?: it.javaClass.simpleName)) }
    }

    private fun hasExplicitFraming(): Boolean {
        val received = response ?: return false
        return received.getHeader("Content-Length") != null ||
            received.getHeader("Transfer-Encoding")?.contains("chunked", ignoreCase = true) == true
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}

/** The outcome of reading a body. */
sealed interface BodyResult {
    /** The body is complete. */
    class Complete(val bytes: Buffer) : BodyResult

    /** The body is not complete. */
    data class Incomplete(val reason: String, val isConnectionLost: Boolean = false) : BodyResult
}
