package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer

/**
 * Splits the bytes of an event stream into whole events.
 *
 * A worker may stop in the middle of an event. Only whole events are passed on, so that a resumed run can follow.
 */
class EventSplitter {
    private var pending = Buffer.buffer()
    private var scanned = 0

    /** Whether bytes of an unfinished event are held. */
    val hasPartial: Boolean
        get() = pending.length() > 0

    /** Adds bytes and returns the events that they complete. */
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

    /** Removes and returns the bytes after the last whole event. */
    fun takePartial(): Buffer = pending.also {
        pending = Buffer.buffer()
        scanned = 0
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}

/**
 * One event.
 *
 * @property bytes as they came, with the blank line at the end
 * @property id the number of the event, or null when it bears none
 * @property data the data lines, joined by line feeds
 */
class StreamEvent(val bytes: Buffer, val id: Long?, val data: String?) {
    companion object {
        /** Reads the fields of an event. */
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
