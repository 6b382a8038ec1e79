package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer

/**
 * Splits the bytes of an event stream (server-sent events) into complete events.
 *
 * A worker may fail in the middle of an event. Only complete events are forwarded, so that another worker can resume
 * the stream after the last one. Lines end with a line feed, a carriage return, or both.
 */
class EventSplitter {
    private var pending = Buffer.buffer()
    private var scanned = 0
    private var lineStart = 0

    /** Whether the buffer contains bytes of an incomplete event. */
    val hasPartial: Boolean
        get() = pending.length() > 0

    /** Number of bytes in the buffer. */
    val pendingBytes: Int
        get() = pending.length()

    /** Appends [bytes] and returns the events that are now complete. */
    fun add(bytes: Buffer): List<StreamEvent> {
        pending.appendBuffer(bytes)
        val events = ArrayList<StreamEvent>()
        var eventStart = 0
        while (scanned < pending.length()) {
            val terminatorBytes = terminatorBytes(scanned) ?: break
            val isBlankLine = terminatorBytes > 0 && scanned == lineStart
            scanned += maxOf(1, terminatorBytes)
            if (terminatorBytes > 0) lineStart = scanned
            if (isBlankLine) {
                events += StreamEvent.parse(pending.getBuffer(eventStart, scanned))
                eventStart = scanned
            }
        }
        if (eventStart > 0) removeFirst(eventStart)
        return events
    }

    /** Returns the event that the end of the stream completes, or null. */
    fun end(): StreamEvent? {
        val endsWithBlankLine = scanned == lineStart && scanned == pending.length() - 1
        if (!endsWithBlankLine) return null
        return StreamEvent.parse(pending).also { removeFirst(pending.length()) }
    }

    /**
     * Returns the length of the line terminator at [position], 0 if there is none, or null if that depends on the next
     * byte, which has not been received.
     */
    private fun terminatorBytes(position: Int): Int? = when (pending.getByte(position)) {
        LINE_FEED -> 1
        CARRIAGE_RETURN -> when {
            position + 1 == pending.length() -> null
            pending.getByte(position + 1) == LINE_FEED -> 2
            else -> 1
        }

        else -> 0
    }

    private fun removeFirst(bytes: Int) {
        pending = pending.getBuffer(bytes, pending.length())
        scanned = maxOf(0, scanned - bytes)
        lineStart = maxOf(0, lineStart - bytes)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}

/**
 * A server-sent event.
 *
 * @property bytes the event as received, including the blank line at its end
 * @property id the event id, or null when the event has no numeric id
 * @property data the values of the data lines joined by line feeds, or null when the event has none
 * @property statusLine the first line that begins a response, which no field of an event does, or null
 * @property containsHead whether a line that contains the beginning of a response is followed by one that is no field of an
 *   event, as in an event that was broken off and continued by the head of another response
 */
class StreamEvent(
    val bytes: Buffer,
    val id: Long?,
    val data: String?,
    val statusLine: String? = null,
    val containsHead: Boolean = false,
) {
    /** Whether the event has neither an id nor data, such as a comment that keeps the connection open. */
    val isEmpty: Boolean
        get() = id == null && data == null

    /** Whether the event is the head of another response, which a worker has written after a stream without a length. */
    val isResponseHead: Boolean
        get() = bytes.length() >= ResponseIdentity.STATUS_LINE_START.length &&
            bytes.getString(0, ResponseIdentity.STATUS_LINE_START.length) == ResponseIdentity.STATUS_LINE_START

    companion object {
        /** Parses the id and data fields of one event. */
        fun parse(bytes: Buffer): StreamEvent {
            var id: Long? = null
            var statusLine: String? = null
            var containsHead = false
            var isBehindStart = false
            val data = ArrayList<String>(1)
            for (line in bytes.toString(Charsets.UTF_8).lineSequence()) {
                containsHead = containsHead || (isBehindStart && isForeign(line))
                isBehindStart = ResponseIdentity.STATUS_LINE_START in line
                if (statusLine == null && line.startsWith(ResponseIdentity.STATUS_LINE_START)) statusLine = line
                val value = line.substringAfter(':', "").removePrefix(" ")
                when (line.substringBefore(':')) {
                    "id" -> id = value.toLongOrNull()
                    "data" -> data += value
                }
            }
            val text = data.takeIf { it.isNotEmpty() }?.joinToString("\n")
            return StreamEvent(bytes, id, text, statusLine, containsHead)
        }

        // An empty field name begins a comment.
        private fun isForeign(line: String): Boolean = line.isNotEmpty() && line.substringBefore(':') !in FIELD_NAMES

        private val FIELD_NAMES = setOf("", "data", "event", "id", "retry")
    }
}
