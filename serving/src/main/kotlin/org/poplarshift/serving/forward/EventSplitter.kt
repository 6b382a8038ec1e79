package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer

/**
 * Splits the bytes of an event stream (server-sent events) into complete events.
 *
 * A worker may fail in the middle of an event. Only complete events are forwarded, so that another worker can resume
 * the stream after the last one.
 */
class EventSplitter {
    private var pending = Buffer.buffer()
    private var scanned = 0

    /** Whether the buffer contains bytes of an incomplete event. */
    val hasPartial: Boolean
        get() = pending.length() > 0

    /** Appends [bytes] and returns the events that are now complete. */
    fun add(bytes: Buffer): List<StreamEvent> {
        pending.appendBuffer(bytes)
        val events = ArrayList<StreamEvent>()
        var start = 0
        var position = maxOf(1, scanned)
        while (position < pending.length()) {
            if (pending.getByte(position) == NEWLINE &&
                pending.getByte(position - 1) == NEWLINE &&
                position - 1 >= start
            ) {
                events += StreamEvent.parse(pending.getBuffer(start, position + 1))
                start = position + 1
                position = start
            }
            position++
        }
        if (start > 0) pending = pending.getBuffer(start, pending.length())
        scanned = maxOf(0, pending.length())
        return events
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}

/**
 * A server-sent event.
 *
 * @property bytes the event as received, including the blank line at its end
 * @property id the event id, or null when the event has no numeric id
 * @property data the values of the data lines joined by line feeds, or null when the event has none
 */
class StreamEvent(val bytes: Buffer, val id: Long?, val data: String?) {
    companion object {
        /** Parses the id and data fields of one event. */
        fun parse(bytes: Buffer): StreamEvent {
            var id: Long? = null
            val data = ArrayList<String>(1)
            for (line in bytes.toString(Charsets.UTF_8).split('\n')) {
                val value = line.substringAfter(':', "").removePrefix(" ").removeSuffix("\r")
                when (line.substringBefore(':')) {
                    "id" -> id = value.toLongOrNull()
                    "data" -> data += value
                }
            }
            return StreamEvent(bytes, id, data.takeIf { it.isNotEmpty() }?.joinToString("\n"))
        }
    }
}
