package org.poplarshift.serving.submission

import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.forward.StreamEvent

/**
 * The data of all events that an item has received so far from workers of one software version, joined by line feeds.
 *
 * A run is resumed after the last event that has an id. Later events without an id are sent again and must not be kept.
 *
 * @property origin the service and the software version of the workers
 * @param saved the output of an earlier run up to the event [lastEvent], or null
 */
class ItemOutput(val origin: StreamOrigin, saved: ByteArray? = null, lastEvent: Long? = null) {
    /** A state of the output after which a run can be resumed. */
    class ResumePoint internal constructor(
        internal val length: Int,
        internal val hasData: Boolean,
        internal val event: Long?,
    )

    /** Number of characters that have been saved in the log. */
    var savedLength = 0

    private val text = StringBuilder(saved?.decodeToString().orEmpty())
    private var hasData = saved != null

    /** The state after the last event that has an id. */
    var resumePoint = ResumePoint(text.length, hasData, lastEvent)
        private set

    /** Id of the last event that has one, or null. */
    val lastEvent: Long?
        get() = resumePoint.event

    /** Number of characters up to [resumePoint]. */
    val resumableLength: Int
        get() = resumePoint.length

    /** Adds [event] to the end of the output. */
    fun append(event: StreamEvent) {
        event.data?.let { data ->
            if (hasData) text.append('\n')
            text.append(data)
            hasData = true
        }
        event.id?.let { resumePoint = ResumePoint(text.length, hasData, it) }
    }

    /** Removes all events that were added after [point]. */
    fun restore(point: ResumePoint = resumePoint) {
        text.setLength(point.length)
        hasData = point.hasData
        resumePoint = point
    }

    /** Returns the whole output as UTF-8. */
    fun encode(): ByteArray = text.toString().encodeToByteArray()

    /** Returns the output up to [resumePoint] as UTF-8. */
    fun encodeResumable(): ByteArray = text.substring(0, resumableLength).encodeToByteArray()
}
