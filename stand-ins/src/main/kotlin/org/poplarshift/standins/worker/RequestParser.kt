package org.poplarshift.standins.worker

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/** Splits the bytes of a connection into HTTP/1.1 requests with a length, in chunks or without a body. */
internal class RequestParser {
    private var pending = Buffer.buffer()

    /** Appends [bytes] and returns the requests that are now complete. */
    fun add(bytes: Buffer): List<ReceivedRequest> {
        pending.appendBuffer(bytes)
        return generateSequence { next() }.toList()
    }

    private fun next(): ReceivedRequest? {
        val text = pending.toString(Charsets.ISO_8859_1)
        val headEnd = text.indexOf(HEAD_END)
        if (headEnd < 0) return null
        val lines = text.substring(0, headEnd).split(LINE_END)
        val headers = MultiMap.caseInsensitiveMultiMap()
        lines.drop(1).forEach { headers.add(it.substringBefore(':').trim(), it.substringAfter(':').trim()) }
        val body = bodyAt(text, headEnd + HEAD_END.length, headers) ?: return null
        val (method, uri) = lines.first().split(' ')
        pending = pending.getBuffer(body.end, pending.length())
        return ReceivedRequest(method, uri, headers, body.text.toByteArray(Charsets.ISO_8859_1))
    }

    private fun bodyAt(text: String, start: Int, headers: MultiMap): Body? {
        if (headers["Transfer-Encoding"].equals("chunked", ignoreCase = true)) return chunksAt(text, start)
        val end = start + (headers["Content-Length"]?.toInt() ?: 0)
        return if (text.length < end) null else Body(text.substring(start, end), end)
    }

    // Trailers end with an empty line, as a body without trailers does.
    private fun chunksAt(text: String, start: Int): Body? {
        val body = StringBuilder()
        var position = start
        while (true) {
            val sizeEnd = text.indexOf(LINE_END, position)
            if (sizeEnd < 0) return null
            val size = text.substring(position, sizeEnd).substringBefore(';').trim().toInt(HEXADECIMAL)
            if (size == 0) {
                val end = text.indexOf(HEAD_END, sizeEnd)
                return if (end < 0) null else Body(body.toString(), end + HEAD_END.length)
            }
            val dataStart = sizeEnd + LINE_END.length
            position = dataStart + size + LINE_END.length
            if (text.length < position) return null
            body.append(text, dataStart, dataStart + size)
        }
    }

    private class Body(val text: String, val end: Int)

    private companion object {
        const val LINE_END = "\r\n"
        const val HEAD_END = "\r\n\r\n"
        const val HEXADECIMAL = 16
    }
}
