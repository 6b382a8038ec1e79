package org.poplarshift.standins.worker

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/** Splits the bytes of a connection into HTTP/1.1 requests with a length or without a body. */
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
        val lines = text.substring(0, headEnd).split("\r\n")
        val headers = MultiMap.caseInsensitiveMultiMap()
        lines.drop(1).forEach { headers.add(it.substringBefore(':').trim(), it.substringAfter(':').trim()) }
        val bodyStart = headEnd + HEAD_END.length
        val bodyEnd = bodyStart + (headers["Content-Length"]?.toInt() ?: 0)
        if (pending.length() < bodyEnd) return null
        val (method, uri) = lines.first().split(' ')
        val body = pending.getBytes(bodyStart, bodyEnd)
        pending = pending.getBuffer(bodyEnd, pending.length())
        return ReceivedRequest(method, uri, headers, body)
    }

    private companion object {
        const val HEAD_END = "\r\n\r\n"
    }
}
