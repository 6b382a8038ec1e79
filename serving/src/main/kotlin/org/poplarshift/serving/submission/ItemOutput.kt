package org.poplarshift.serving.submission

import org.poplarshift.core.submission.ItemProgress
import org.poplarshift.serving.forward.StreamEvent

/** The data of all events that an item has received so far, joined by line feeds. */
class ItemOutput(progress: ItemProgress?) {
    /** A state of the output to which [restore] returns. */
    class Mark internal constructor(internal val length: Int, internal val hasData: Boolean, internal val event: Long?)

    private val text = StringBuilder(progress?.output?.decodeToString().orEmpty())
    private var hasData = progress != null

    /** Id of the last event in the output, or null if no event has been received. */
    var lastEvent: Long? = progress?.lastEvent
        private set

    /** Number of characters. */
    val length: Int
        get() = text.length

    /** Adds [event] to the end of the output. */
    fun append(event: StreamEvent) {
        event.id?.let { lastEvent = it }
        val data = event.data ?: return
        if (hasData) text.append('\n')
        text.append(data)
        hasData = true
    }

    /** Returns the current state. */
    fun mark() = Mark(length, hasData, lastEvent)

    /** Removes all events that were added after [mark]. */
    fun restore(mark: Mark) {
        text.setLength(mark.length)
        hasData = mark.hasData
        lastEvent = mark.event
    }

    /** Returns the output as UTF-8. */
    fun encode(): ByteArray = text.toString().encodeToByteArray()
}
