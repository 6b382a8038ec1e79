package org.poplarshift.serving.ingress

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/** How much of the requests on one connection has been received and answered. Times are monotonic milliseconds. */
internal class RequestProgress {
    private var remainingBodyBytes: Long? = null

    // The heads of received requests, which are held until their responses are complete.
    private val unansweredHeads = ArrayDeque<Long>()

    /** Number of requests whose head was received and whose response is not complete. */
    var unanswered = 0
        private set

    /** Whether the next byte belongs to a head. */
    var isInHead = true
        private set

    /** Number of bytes of the current head. */
    var headBytes = 0
        private set

    /** Number of lines of the current head. */
    var headLines = 0
        private set

    /** Memory of the current head and of those that have no complete response yet, in bytes. */
    val headMemory: Long
        get() = currentHeadMemory + unansweredHeads.sum()

    private val currentHeadMemory: Long
        get() = headBytes + headLines * FIELD_BYTES

    /** Time at which the current head or body began. */
    var startMillis = 0L
        private set

    /** Number of bytes of the current body. */
    var bodyBytes = 0L
        private set

    /** Whether the connection carries a WebSocket. */
    var isUpgraded = false

    /** Maximum number of bytes to decode before the state is looked at again. */
    val nextBytes: Int
        get() = when {
            isInHead -> HEAD_SLICE_BYTES
            else -> remainingBodyBytes?.coerceIn(1L, MAXIMUM_SLICE_BYTES)?.toInt() ?: CHUNK_SLICE_BYTES
        }

    /** Records that the next [count] bytes of [bytes] are decoded. */
    fun onBytes(bytes: ByteBuf, count: Int, nowMillis: Long) {
        if (!isInHead) return
        if (headBytes == 0) startMillis = nowMillis
        headBytes += count
        val end = bytes.readerIndex() + count
        for (index in bytes.readerIndex() until end) {
            if (bytes.getByte(index) == LINE_FEED) headLines++
        }
    }

    /** Records the head of [request]. */
    fun onHead(request: HttpRequest, nowMillis: Long) {
        unanswered++
        isInHead = false
        startMillis = nowMillis
        bodyBytes = 0
        remainingBodyBytes =
            if (HttpUtil.isTransferEncodingChunked(request)) null else HttpUtil.getContentLength(request, 0L)
    }

    /** Records [count] bytes of the body. */
    fun onBody(count: Int) {
        bodyBytes += count
        remainingBodyBytes = remainingBodyBytes?.let { it - count }
    }

    /** Records that the request is complete. */
    fun onRequestEnd() {
        if (unansweredHeads.size < unanswered) unansweredHeads += currentHeadMemory
        isInHead = true
        headBytes = 0
        headLines = 0
    }

    /** Records that a response is complete. */
    fun onResponseEnd() {
        if (unanswered > 0) unanswered--
        unansweredHeads.removeFirstOrNull()
    }

    private companion object {
        // A field in the collections of the decoder and of the server, without its text.
        const val FIELD_BYTES = 160L
        const val LINE_FEED = '\n'.code.toByte()

        // Holds some 50 of the shortest requests, which are decoded before the bound for pipelined ones applies.
        const val HEAD_SLICE_BYTES = 1_024
        const val CHUNK_SLICE_BYTES = 4_096
        const val MAXIMUM_SLICE_BYTES = 65_536L
    }
}
