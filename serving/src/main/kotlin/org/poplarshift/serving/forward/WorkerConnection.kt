package org.poplarshift.serving.forward

import io.netty.buffer.ByteBufUtil
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.internal.net.NetSocketInternal
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.memory.PacedWriter

/**
 * A connection to the worker with the id [worker] at [address], used for one request at a time.
 *
 * Bytes that arrive while no request waits belong to no request. The connection is then closed, because the bytes after
 * them could be taken for a part of the next response. The end of a response is reported after all bytes that were received
 * with it, so that the next request is not sent before such bytes are found.
 *
 * @property number unique among the connections of a node
 * @param onForeignBytes called when the connection is closed because of bytes that belong to no request
 */
class WorkerConnection(
    val worker: String,
    val address: String,
    val number: Long,
    private val socket: NetSocketInternal,
    private val onForeignBytes: (connection: WorkerConnection, found: String) -> Unit,
) {
    private var receiver: ResponseReceiver? = null
    private var endedReceiver: ResponseReceiver? = null
    private var isInterim = false
    private var interimResponses = 0
    private var lastMethod: HttpMethod? = null
    private val sentIds = SentRequestIds(MAXIMUM_REQUESTS)
    private val closed = CompletableDeferred<Unit>()

    /** Id of the latest request, or null before the first one. */
    var lastRequest: String? = null
        private set

    /** Number of requests that were sent on the connection. */
    val sentRequests: Int
        get() = sentIds.size

    /** Whether the whole latest request was written to the connection. */
    var isRequestWritten = false
        private set

    /** Whether no request was sent yet. */
    val isUnused: Boolean
        get() = sentRequests == 0

    /** Whether the connection was closed because of bytes that belong to no request. */
    var hasForeignBytes = false
        private set

    /** Whether either side has closed the connection. */
    var isClosed = false
        private set

    /** Whether the connection is in the pool and available for another request. */
    var isIdle = false
        internal set

    /** Start of the worker's process that the connection leads to, in Unix milliseconds, or null if it is not known. */
    var startedMillis: Long? = null

    /** Monotonic time in milliseconds until which the idle connection may be reused. */
    var reusableUntilMillis = 0L

    init {
        val context = socket.channelHandlerContext()
        val decoding = HttpDecoderConfig().setMaxHeaderSize(MAXIMUM_HEADER_BYTES).setMaxChunkSize(MAXIMUM_PART_BYTES)
        val segments = ResponseSegmentHandler(
            isAwaited = { receiver != null },
            onForeignBytes = { closeForeign("$it bytes") },
        )
        context.pipeline()
            .addFirst("writer", PacedWriter())
            .addBefore(context.name(), "segments", segments)
            .addBefore(context.name(), "decoder", ResponseDecoder(decoding) { lastMethod != HttpMethod.HEAD })
            .addBefore(context.name(), "encoder", HttpRequestEncoder())
            .addBefore(context.name(), "responses", ResponseMessageHandler(::onMessage, ::reportEnd, ::onLost))
        // Failures are reported by the handler of responses.
        socket.exceptionHandler { }
        socket.closeHandler {
            isClosed = true
            closed.complete(Unit)
        }
    }

    /** Sends [request]; its response and the loss of the connection are passed to [receiver]. */
    fun send(request: OutgoingRequest, receiver: ResponseReceiver) {
        lastRequest = request.id
        sentIds.add(request.id)
        lastMethod = request.method
        if (isClosed) return receiver.onLost(CLOSED)
        val message = try {
            request.toHttp(address)
        } catch (exception: IllegalArgumentException) {
            return receiver.onLost("the request can't be sent: ${exception.message}")
        }
        this.receiver = receiver
        interimResponses = 0
        isRequestWritten = false
        socket.writeMessage(message)
            .onSuccess { isRequestWritten = true }
            .onFailure { onLost(it.message ?: it.javaClass.simpleName) }
    }

    /**
     * Whether a response that names the request [id] can only be the response to that request.
     *
     * A late copy of the response to an earlier request with the same id could arrive after any number of other responses.
     */
    fun canIdentify(id: String): Boolean = !sentIds.isFull && !mayHaveSent(id)

    /** Whether a request with [id] may have been sent on this connection. */
    fun mayHaveSent(id: String): Boolean = sentIds.mayContain(id)

    /** Stops or continues reading, so that a response is not received faster than it is forwarded. */
    fun setReading(isReading: Boolean) {
        socket.channelHandlerContext().channel().config().isAutoRead = isReading
    }

    /** Closes the connection immediately. */
    fun close() {
        receiver = null
        isClosed = true
        socket.close()
    }

    /**
     * Closes the connection and waits up to [timeoutMillis] until the worker has closed it as well.
     *
     * A worker at the limit of its connections accepts another one only when it has seen the end of this one.
     */
    suspend fun closeOnBothSides(timeoutMillis: Long) {
        receiver = null
        isClosed = true
        try {
            (socket.channelHandlerContext().channel() as DuplexChannel).shutdownOutput()
            withTimeoutOrNull(timeoutMillis) { closed.await() }
        } finally {
            socket.close()
        }
    }

    private fun onMessage(message: HttpObject) {
        val receiver = receiver ?: return
        if (message.decoderResult().isFailure) {
            val cause = message.decoderResult().cause()
            return closeMalformed(receiver, "malformed response: ${cause.message ?: cause.javaClass.simpleName}")
        }
        if (message is HttpResponse) {
            isInterim = message.status().code() in INTERIM_STATUSES
            if (isInterim && ++interimResponses > MAXIMUM_INTERIM_RESPONSES) {
                return closeMalformed(receiver, "over $MAXIMUM_INTERIM_RESPONSES interim responses")
            }
            if (isInterim) receiver.onInterim(message) else receiver.onHead(message)
        }
        if (message is HttpContent && !isInterim) onContent(receiver, message)
    }

    private fun onContent(receiver: ResponseReceiver, content: HttpContent) {
        if (content.content().isReadable) receiver.onBody(Buffer.buffer(ByteBufUtil.getBytes(content.content())))
        if (content !is LastHttpContent) return
        this.receiver = null
        endedReceiver = receiver
        setReading(true)
    }

    private fun reportEnd() {
        val ended = endedReceiver ?: return
        endedReceiver = null
        ended.onEnd()
    }

    private fun closeMalformed(receiver: ResponseReceiver, reason: String) {
        close()
        receiver.onMalformed(reason)
    }

    private fun onLost(reason: String) {
        val lost = receiver
        close()
        reportEnd()
        lost?.onLost(reason)
    }

    private fun closeForeign(found: String) {
        if (isClosed) return
        hasForeignBytes = true
        close()
        onForeignBytes(this, found)
    }

    internal companion object {
        /** Reason for the loss of a connection that the worker has closed. */
        const val CLOSED = "Connection was closed"

        /**
         * Maximum number of interim responses to one request. A worker that reports its progress once a second stays below
         * it within the longest timeout of a route, which is some ten seconds. With the largest heads they are 4 MiB.
         */
        const val MAXIMUM_INTERIM_RESPONSES = 64

        /**
         * Maximum number of requests on one connection, whose ids take 1 KiB. A new connection after 256 requests adds few to
         * those that end for other reasons, after four requests on average on a calm day.
         */
        const val MAXIMUM_REQUESTS = 256

        /** Maximum size of the head of a response. */
        const val MAXIMUM_HEADER_BYTES = 65_536
        private const val MAXIMUM_PART_BYTES = 65_536

        // A status 101 would end HTTP on the connection, which no request asks for.
        private val INTERIM_STATUSES = setOf(100) + (102..199)
    }
}

/** Receives the response to one request. */
interface ResponseReceiver {
    /** Called for each interim response. */
    fun onInterim(response: HttpResponse)

    /** Called for the head of the final response. */
    fun onHead(response: HttpResponse)

    /** Called for each part of the body. */
    fun onBody(bytes: Buffer)

    /** Called when the response is complete. */
    fun onEnd()

    /** Called when the response can't be parsed. The connection is closed. */
    fun onMalformed(reason: String)

    /** Called when the connection was lost. */
    fun onLost(reason: String)
}
