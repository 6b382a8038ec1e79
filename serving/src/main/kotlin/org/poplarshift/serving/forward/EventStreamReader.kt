package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.MonotonicClock

/**
 * Reads the response of one run as an event stream.
 *
 * A response without a length or chunks ends when its connection is closed, also when the worker has crashed. Such a
 * stream is complete only if it has events and ends after one of them.
 *
 * A faulty worker may send bytes without end. The ids of events must therefore increase, and events without id and data
 * do not extend the time within which the stream must continue.
 *
 * @param resumeAfter id of the last event of an earlier run that this run continues, or null
 * @param maximumBytes maximum size of all events together, for receivers that keep them; null if there is no limit
 */
class EventStreamReader(
    private val exchange: WorkerExchange,
    private val clock: MonotonicClock,
    resumeAfter: Long?,
    private val maximumBytes: Int? = null,
) {
    private val splitter = EventSplitter()
    private var lastEventId = resumeAfter
    private var keptBytes = 0
    private var stalledSinceMillis: Long? = null
    private var failure: EventStreamPart? = null
    private var hasEvents = false
    private var isEnded = false

    /** Returns the next events or the end of the stream; waits up to [timeoutMillis] for the stream to continue. */
    suspend fun next(timeoutMillis: Long): EventStreamPart {
        failure?.let { return it }
        if (exchange.isOtherThanEvents) return EventStreamPart.Invalid("the response is no event stream")
        val now = clock.millis()
        val remainingMillis = (stalledSinceMillis ?: now) + timeoutMillis - now
        val part = withTimeoutOrNull(remainingMillis) { next() } ?: return EventStreamPart.TimedOut
        if (part is EventStreamPart.Events) {
            stalledSinceMillis = if (part.events.all { it.isEmpty }) stalledSinceMillis ?: now else null
        }
        return part
    }

    private suspend fun next(): EventStreamPart {
        while (!isEnded) {
            when (val part = exchange.next(Long.MAX_VALUE)) {
                is ResponsePart.Bytes -> onBytes(part.bytes)?.let { return it }
                is ResponsePart.ConnectionLost -> return EventStreamPart.BrokenOff(part.reason, isConnectionLost = true)
                is ResponsePart.Malformed -> return EventStreamPart.BrokenOff(part.reason, isConnectionLost = false)
                is ResponsePart.Foreign ->
                    return EventStreamPart.BrokenOff(part.identity.reason, isConnectionLost = false)

                ResponsePart.TimedOut -> return EventStreamPart.TimedOut
                ResponsePart.End -> {
                    isEnded = true
                    splitter.end()?.let { return onEvents(listOf(it)) }
                }
            }
        }
        return end()
    }

    private fun onBytes(bytes: Buffer): EventStreamPart? {
        val events = splitter.add(bytes)
        if (maximumBytes != null) keptBytes += events.sumOf { it.bytes.length() }
        val isWithinLimit = splitter.pendingBytes <= MAXIMUM_EVENT_BYTES &&
            exchange.hold(keptBytes + splitter.pendingBytes)
        return when {
            maximumBytes != null && keptBytes > maximumBytes -> EventStreamPart.Invalid("over $maximumBytes bytes")
            // Events that are not kept free their memory when they are delivered.
            events.isNotEmpty() && (isWithinLimit || maximumBytes == null) -> onEvents(events)
            isWithinLimit -> null
            else -> EventStreamPart.BrokenOff("no memory for ${keptBytes + splitter.pendingBytes} bytes", false)
        }
    }

    /** Returns the events up to the first one that does not continue the stream. The next call then returns the failure. */
    private fun onEvents(events: List<StreamEvent>): EventStreamPart {
        for ((index, event) in events.withIndex()) {
            val failure = failureAt(event)
            if (failure != null) {
                this.failure = failure
                return if (index == 0) failure else EventStreamPart.Events(events.take(index))
            }
            event.id?.let { lastEventId = it }
        }
        hasEvents = true
        return EventStreamPart.Events(events)
    }

    private fun failureAt(event: StreamEvent): EventStreamPart? {
        val previous = lastEventId
        return when {
            event.isResponseHead || event.containsHead || (event.statusLine != null && exchange.endsWithConnection) -> {
                exchange.onSecondResponse(ResponseIdentity.secondResponse("${event.statusLine} inside a stream"))
                EventStreamPart.BrokenOff("another response inside the stream", isConnectionLost = false)
            }

            event.id != null && previous != null && event.id <= previous ->
                EventStreamPart.Invalid("event ${event.id} after event $previous")

            else -> null
        }
    }

    private fun end(): EventStreamPart = when {
        splitter.hasPartial ->
            EventStreamPart.BrokenOff("the stream ended inside an event", exchange.endsWithConnection)

        exchange.endsWithConnection && !hasEvents ->
            EventStreamPart.BrokenOff("the stream ended without an event", isConnectionLost = true)

        else -> EventStreamPart.Complete
    }

    private companion object {
        // Many times the size of an event with all the text of a long answer.
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
    }
}
