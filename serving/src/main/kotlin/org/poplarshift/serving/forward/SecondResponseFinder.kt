package org.poplarshift.serving.forward

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/**
 * Finds a second response inside the body of a first one.
 *
 * All bytes up to the end of the connection belong to a body that has neither a length nor chunks, and a body that breaks
 * off before its length is reached is filled up by what follows on the connection. A response which a worker writes there
 * would become a part of the body. The finder reads the lines of the body; [ResponseIdentity] decides whether they are the
 * head of another response. It holds back no bytes, keeps at most one line of a possible head, and looks at each byte a
 * fixed number of times.
 *
 * @param endsWithConnection whether the body has neither a length nor chunks
 * @param mayHaveSent whether the request with an id may have been sent on the connection
 */
internal class SecondResponseFinder(
    private val protocol: WorkerProtocol,
    private val endsWithConnection: Boolean,
    private val mayHaveSent: (id: String) -> Boolean,
) {
    /**
     * A second response.
     *
     * @property ownBytes number of bytes of the last part of the body that precede the second response
     */
    class Found(val identity: ResponseIdentity.Foreign, val ownBytes: Int)

    private val line = StringBuilder()
    private var matchedBytes = 0
    private var previousByte: Byte? = null
    private var byteBeforeLine: Byte? = null
    private var head: Head? = null
    private var receivedBytes = 0L
    private var lineStart = 0L
    private var suspected: ResponseIdentity.Foreign? = null

    /** Number of bytes of the body that are kept. */
    val keptBytes: Int
        get() = line.length

    /** Reads the next part of the body. Returns the second response if its head is now known. */
    fun add(bytes: Buffer): Found? {
        val partStart = receivedBytes
        for (byte in bytes.bytes) {
            receivedBytes++
            val start = lineOrHeadStart
            val identity = if (isInLine) onLineByte(byte) else null.also { match(byte) }
            previousByte = byte
            if (identity != null) return Found(identity, maxOf(0L, start - partStart).toInt())
        }
        return null
    }

    /**
     * Returns the second response that only the end of the body shows.
     *
     * @param isFollowed whether bytes that belong to no response follow the body. A body of the stated length that contains
     *   a head is then not whole: its own last bytes are missing, and those of the second response are left over.
     */
    fun end(isFollowed: Boolean): ResponseIdentity.Foreign? = when {
        endsWithConnection -> unfinishedHead()
        isFollowed -> suspected ?: unfinishedHead()
        else -> null
    }

    private fun unfinishedHead(): ResponseIdentity.Foreign? {
        val unfinished = if (isInLine) line.toString() else STATUS_LINE_START.take(matchedBytes)
        val begun = head
        if (begun != null && isHeaderBeginning(unfinished)) {
            addHeader(begun, unfinished)
            return headInBody(begun, isEnded = true)
        }
        return begunStatusLine.find(unfinished)?.let { match ->
            headInBody(newHead(unfinished, match.range.first), isEnded = true)
        }
    }

    private val isInLine: Boolean
        get() = head != null || matchedBytes == STATUS_LINE_START.length

    private val lineOrHeadStart: Long
        get() = head?.start ?: lineStart

    private fun match(byte: Byte) {
        val character = byte.toInt().toChar()
        when (character) {
            STATUS_LINE_START[matchedBytes] -> matchedBytes++
            // No other character of a status line's start can begin another one.
            STATUS_LINE_START[0] -> matchedBytes = 1
            else -> matchedBytes = 0
        }
        if (matchedBytes == 1) byteBeforeLine = previousByte
        if (!isInLine) return
        lineStart = receivedBytes - STATUS_LINE_START.length
        line.append(STATUS_LINE_START)
    }

    private fun onLineByte(byte: Byte): ResponseIdentity.Foreign? {
        line.append((byte.toInt() and BYTE_MASK).toChar())
        val headBytes = receivedBytes - lineOrHeadStart
        return when {
            byte == LINE_FEED -> onLine(line.toString()).also { identity -> if (identity == null) startLine() }
            headBytes <= MAXIMUM_HEAD_BYTES -> null
            else -> null.also { forgetHead() }
        }
    }

    private fun onLine(text: String): ResponseIdentity.Foreign? {
        val begun = head
        val content = text.removeSuffix(LINE_END)
        if (begun != null && content.length < text.length) {
            if (content.isEmpty()) {
                head = null
                return identify(begun, isEnded = begun.headers > 0)
            }
            if (headerLine.matches(content)) {
                addHeader(begun, content)
                return identify(begun, isEnded = false)
            }
        }
        val match = if (content.length < text.length) statusLine.find(text) else null
        head = match?.let { newHead(text, it.range.first) }
        return null
    }

    private fun startLine() {
        if (head == null) return forgetHead()
        line.clear()
        lineStart = receivedBytes
        byteBeforeLine = LINE_FEED
    }

    private fun forgetHead() {
        head = null
        line.clear()
        matchedBytes = 0
    }

    private fun newHead(text: String, index: Int): Head {
        val before = if (index == 0) byteBeforeLine?.toInt()?.toChar() else text[index - 1]
        val content = text.substring(index).trimEnd()
        return Head(content, lineStart + index, isDirectlyBehindText = before != null && isEndOfText(before))
    }

    private fun addHeader(head: Head, content: String) {
        val name = content.substringBefore(':', "")
        if (name.isEmpty()) return
        head.headers++
        val header = MultiMap.caseInsensitiveMultiMap().add(name, content.substringAfter(':').trim())
        head.ids += protocol.responseRequestIds(header)
    }

    private fun identify(head: Head, isEnded: Boolean): ResponseIdentity.Foreign? {
        val foreign = headInBody(head, isEnded) ?: return null
        if (endsWithConnection || head.ids.any(mayHaveSent)) return foreign
        suspected = suspected ?: foreign
        return null
    }

    // A body with a length is judged by a head without a known id only if bytes are left over, so any place is a sign.
    private fun headInBody(head: Head, isEnded: Boolean): ResponseIdentity.Foreign? {
        val isDirectlyBehindText = head.isDirectlyBehindText || !endsWithConnection
        return ResponseIdentity.ofHeadInBody(head.statusLine, head.ids, isDirectlyBehindText, isEnded)
    }

    private fun isHeaderBeginning(text: String): Boolean =
        text.isEmpty() || text == "\r" || headerBeginning.matches(text)

    private class Head(val statusLine: String, val start: Long, val isDirectlyBehindText: Boolean) {
        val ids = ArrayList<String>()
        var headers = 0
    }

    companion object {
        /** Maximum size of a head in bytes, as for the head of a first response. A longer one is a part of the body. */
        const val MAXIMUM_HEAD_BYTES = WorkerConnection.MAXIMUM_HEADER_BYTES

        private const val STATUS_LINE_START = ResponseIdentity.STATUS_LINE_START
        private const val LINE_FEED = '\n'.code.toByte()
        private const val BYTE_MASK = 0xFF
        private const val LINE_END = "\r\n"

        // Servers end the lines of a head with both characters. Text that quotes a head mostly has line feeds only.
        private val statusLine = Regex("HTTP/1\\.\\d \\d{3}(?=[ \r])")

        // Shorter beginnings, such as HTTP, are also the ends of names. A reason phrase is of words, escaped text is not.
        private val begunStatusLine =
            Regex("HTTP/(?:1(?:\\.(?:\\d(?: (?:\\d{0,3}|\\d{3} [A-Za-z0-9 '-]*))?)?)?)?\r?$")

        // The fields of events are no headers: an event may quote a status line in front of its id.
        private const val HEADER_NAME = "(?!(?:data|event|id|retry):)[!#$%&'*+.^_`|~0-9A-Za-z-]+"
        private val headerLine = Regex("$HEADER_NAME:[^\r\n]*")
        private val headerBeginning = Regex("$HEADER_NAME(?::[^\r\n]*)?\r?")

        // Quoted heads begin on a line, or behind a space or one of these. Letters of other scripts may be opening marks.
        private const val MARKS_BEFORE_QUOTATIONS = "\"'`([{<>:|-*#=,"
        private val visibleCharacters = '!'..'~'

        private fun isEndOfText(character: Char): Boolean =
            character in visibleCharacters && character !in MARKS_BEFORE_QUOTATIONS
    }
}
