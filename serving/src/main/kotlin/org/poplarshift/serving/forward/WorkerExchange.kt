package org.poplarshift.serving.forward

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** The result of sending a request and waiting for the response head. */
sealed interface ExchangeResult {
    /** The response head was received. */
    class Response(val head: ResponseHead, val headers: MultiMap) : ExchangeResult

    /** The connection was lost. */
    data class ConnectionLost(val reason: String) : ExchangeResult

    /** The worker has sent something that is not the response to the request. */
    sealed interface UnusableResponse : ExchangeResult {
        val reason: String
    }

    /** The worker has sent bytes that are no response. */
    data class MalformedResponse(override val reason: String) : UnusableResponse

    /** The response has a status that HTTP does not have. */
    data class InvalidStatus(val status: Int) : UnusableResponse {
        override val reason: String
            get() = "invalid status $status"
    }

    /** The response does not belong to the request. */
    data class ForeignResponse(val identity: ResponseIdentity.Foreign) : UnusableResponse {
        override val reason: String
            get() = identity.reason
    }

    /** No response head was received within the timeout. */
    data object TimedOut : ExchangeResult
}

/** One HTTP request and its response on one connection. */
class WorkerExchange(private val connection: WorkerConnection, private val forwarding: ForwardingContext) {
    private val recorder = forwarding.unusableResponses
    private var allocation: ResponseMemory.Allocation? = null
    private val result = CompletableDeferred<ExchangeResult>()
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)
    private var unreadBytes = 0
    private var isComplete = false
    private var isKeptAlive = false
    private var responseHead: ResponseHead? = null

    /** Whether the connection can be used for another request. The worker may answer before it has read the whole request. */
    val isReusable: Boolean
        get() = isComplete &&
            isKeptAlive &&
            responseHead?.closesConnection == false &&
            !endsWithConnection &&
            connection.isRequestWritten

    /** Whether the response has neither a length nor chunks, so that the end of the connection ends it. */
    var endsWithConnection = true
        private set

    /** Whether the response states a content type other than that of a stream of events. */
    var isOtherThanEvents = false
        private set

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
        connection.send(request, Receiver(request.id))
        val received = awaitResult(timeoutMillis)
        when (received) {
            is ExchangeResult.Response -> responseHead = received.head
            is ExchangeResult.ForeignResponse -> recorder.onForeignResponse(connection, received.identity)
            is ExchangeResult.InvalidStatus -> recorder.onInvalidStatus(connection, received.status)
            is ExchangeResult.MalformedResponse -> recorder.onMalformedResponse(connection, received.reason)
            is ExchangeResult.ConnectionLost -> recorder.onNoResponse("connection_lost_before_head")
            ExchangeResult.TimedOut -> recorder.onNoResponse("silent_before_head")
        }
        return received
    }

    private suspend fun awaitResult(timeoutMillis: Long): ExchangeResult {
        withTimeoutOrNull(minOf(SLOW_MILLIS, timeoutMillis)) { result.await() }?.let { return it }
        forwarding.connections.onSlow(connection)
        return withTimeoutOrNull(timeoutMillis - SLOW_MILLIS) { result.await() } ?: ExchangeResult.TimedOut
    }

    /** Returns the next part of the body; waits up to [timeoutMillis]. */
    suspend fun next(timeoutMillis: Long): ResponsePart {
        val part = withTimeoutOrNull(timeoutMillis) { parts.receive() } ?: return ResponsePart.TimedOut
        when (part) {
            is ResponsePart.Bytes -> onRead(part)
            is ResponsePart.ConnectionLost -> recorder.onNoResponse("connection_lost_in_body")
            is ResponsePart.Malformed -> recorder.onMalformedResponse(connection, part.reason)
            is ResponsePart.Foreign -> onSecondResponse(part.identity)
            ResponsePart.End -> isComplete = true
            ResponsePart.TimedOut -> Unit
        }
        return part
    }

    /** Records that the body contains the beginning of a second response, so that it isn't whole. */
    fun onSecondResponse(identity: ResponseIdentity.Foreign) = recorder.onForeignResponse(connection, identity)

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
                is ResponsePart.Malformed -> return BodyResult.Incomplete(part.reason, isStatusInDoubt = true)
                is ResponsePart.Foreign -> return BodyResult.Incomplete(part.identity.reason, isStatusInDoubt = true)
                ResponsePart.TimedOut -> return BodyResult.Incomplete("silent within the body")
            }
        }
        return BodyResult.Incomplete("body of over $maximumBytes bytes")
    }

    private fun onRead(part: ResponsePart.Bytes) {
        val before = unreadBytes
        unreadBytes -= part.bytes.length()
        if (before > MAXIMUM_UNREAD_BYTES && unreadBytes <= MAXIMUM_UNREAD_BYTES) connection.setReading(true)
    }

    private inner class Receiver(private val requestId: String) : ResponseReceiver {
        private var finder: SecondResponseFinder? = null
        private var isSecondResponse = false

        override fun onInterim(response: HttpResponse) {
            val headers = response.headers().toMultiMap()
            val status = response.status()
            ResponseIdentity.ofInterim(requestId, status.code(), status.reasonPhrase(), headers, forwarding.protocol)
                ?.let { result.complete(ExchangeResult.ForeignResponse(it)) }
        }

        override fun onHead(response: HttpResponse) {
            val headers = response.headers().toMultiMap()
            isOtherThanEvents = HttpUtil.getMimeType(response)?.contentEquals(EVENT_STREAM, ignoreCase = true) == false
            isKeptAlive = HttpUtil.isKeepAlive(response)
            endsWithConnection = !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response)
            finder = SecondResponseFinder(forwarding.protocol, endsWithConnection, connection::mayHaveSent)
            val status = response.status()
            val identity =
                ResponseIdentity.of(requestId, status.code(), status.reasonPhrase(), headers, forwarding.protocol)
            result.complete(
                when (identity) {
                    is ResponseIdentity.Own -> ExchangeResult.Response(identity.head, headers)
                    is ResponseIdentity.InvalidStatus -> ExchangeResult.InvalidStatus(identity.status)
                    is ResponseIdentity.Foreign -> ExchangeResult.ForeignResponse(identity)
                },
            )
        }

        override fun onBody(bytes: Buffer) {
            if (isSecondResponse) return
            val second = finder?.add(bytes) ?: return addBody(bytes)
            isSecondResponse = true
            if (second.ownBytes > 0) addBody(bytes.getBuffer(0, second.ownBytes))
            parts.trySend(ResponsePart.Foreign(second.identity))
        }

        private fun addBody(bytes: Buffer) {
            unreadBytes += bytes.length()
            if (unreadBytes > MAXIMUM_UNREAD_BYTES) connection.setReading(false)
            parts.trySend(ResponsePart.Bytes(bytes))
        }

        override fun onEnd() {
            // The worker has closed the connection without having read the request, probably because it has failed.
            if (endsWithConnection &&
                !connection.isRequestWritten
            ) {
                return onLost("closed before the request was written")
            }
            val second = finder?.end(isFollowed = connection.hasForeignBytes)
            parts.trySend(second?.let { ResponsePart.Foreign(it) } ?: ResponsePart.End)
        }

        override fun onMalformed(reason: String) {
            result.complete(ExchangeResult.MalformedResponse(reason))
            parts.trySend(ResponsePart.Malformed(reason))
        }

        override fun onLost(reason: String) {
            result.complete(ExchangeResult.ConnectionLost(reason))
            parts.trySend(ResponsePart.ConnectionLost(reason))
        }

        private fun HttpHeaders.toMultiMap(): MultiMap =
            MultiMap.caseInsensitiveMultiMap().also { copy -> forEach { (name, value) -> copy.add(name, value) } }
    }

    private companion object {
        const val EVENT_STREAM = "text/event-stream"

        // Longer than most responses take to begin. The request still waits for its response.
        const val SLOW_MILLIS = 600L

        // Enough to keep a fast connection busy while a part is forwarded.
        const val MAXIMUM_UNREAD_BYTES = 65_536
    }
}

/** The outcome of reading a whole body. */
sealed interface BodyResult {
    /** The body was received completely. */
    class Complete(val bytes: Buffer) : BodyResult

    /**
     * The body was not received completely.
     *
     * @property isStatusInDoubt whether other bytes follow the beginning of the body, so that the worker may have answered
     *   twice
     */
    data class Incomplete(
        val reason: String,
        val isConnectionLost: Boolean = false,
        val isStatusInDoubt: Boolean = false,
    ) : BodyResult
}
