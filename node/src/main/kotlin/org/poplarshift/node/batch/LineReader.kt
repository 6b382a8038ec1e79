package org.poplarshift.node.batch

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Reads the body of a paused request line by line. It fetches the next chunk only after the previous one is consumed,
 * so that backpressure limits the caller to the rate at which lines are stored.
 */
class LineReader(
    private val request: HttpServerRequest,
    private val bodyLimitBytes: Int,
    private val lineLimitBytes: Int,
    private val idleMillis: Long,
) {
    private val chunks = Channel<Buffer?>(Channel.UNLIMITED)
    private var buffer = Buffer.buffer()
    private var position = 0
    private var received = 0L
    private var isComplete = false

    init {
        request.handler { chunks.trySend(it) }
        request.endHandler { chunks.trySend(null) }
        request.exceptionHandler { chunks.close(it) }
    }

    /** Returns the next non-blank line, or why there is none. */
    suspend fun next(): LineResult {
        while (true) {
            val end = lineEnd()
            if (end >= 0) {
                val line = takeLine(end)
                if (line.length > lineLimitBytes) return LineResult.LineTooLong
                if (line.isNotBlank()) return LineResult.Line(line)
            } else if (isComplete) {
                return LineResult.End
            } else {
                if (buffer.length() - position > lineLimitBytes) return LineResult.LineTooLong
                fill()?.let { return it }
            }
        }
    }

    private fun lineEnd(): Int {
        for (index in position until buffer.length()) if (buffer.getByte(index) == NEWLINE) return index
        return if (isComplete && position < buffer.length()) buffer.length() else -1
    }

    private fun takeLine(end: Int): String {
        val line = buffer.getString(position, end)
        position = minOf(end + 1, buffer.length())
        return line
    }

    private suspend fun fill(): LineResult? {
        request.fetch(1)
        val chunk = withTimeoutOrNull(idleMillis) { Received(chunks.receive()) } ?: return LineResult.Stalled
        val bytes = chunk.bytes
        if (bytes == null) {
            isComplete = true
            return null
        }
        received += bytes.length()
        if (received > bodyLimitBytes) return LineResult.BodyTooLong
        buffer = buffer.slice(position, buffer.length()).copy().appendBuffer(bytes)
        position = 0
        return null
    }

    private class Received(val bytes: Buffer?)

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
