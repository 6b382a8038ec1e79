package org.poplarshift.serving.forward

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Reads the response of one run as an event stream.
 *
 * A response without a length or chunks ends when its connection is closed, also when the worker has crashed. Such a
 * stream is complete only if it has events and ends after one of them.
 */
class EventStreamReader(private val exchange: WorkerExchange) {
    private val splitter = EventSplitter()
    private var hasEvents = false
    private var isEnded = false

    /** Returns the next events or the end of the stream; waits up to [timeoutMillis] for a complete event. */
    suspend fun next(timeoutMillis: Long): EventStreamPart =
        withTimeoutOrNull(timeoutMillis) { next() } ?: EventStreamPart.TimedOut

    private suspend fun next(): EventStreamPart {
        while (!isEnded) {
            when (val part = exchange.next(Long.MAX_VALUE)) {
                is ResponsePart.Bytes -> onBytes(part.bytes)?.let { return it }
                is ResponsePart.ConnectionLost -> return EventStreamPart.BrokenOff(part.reason, isConnectionLost = true)
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
        val isWithinLimit = splitter.pendingBytes <= MAXIMUM_EVENT_BYTES && exchange.hold(splitter.pendingBytes)
        return when {
            events.isNotEmpty() -> onEvents(events)
            isWithinLimit -> null
            else -> EventStreamPart.BrokenOff("an event has no end after ${splitter.pendingBytes} bytes", false)
        }
    }

    private fun onEvents(events: List<StreamEvent>): EventStreamPart {
        hasEvents = true
        return EventStreamPart.Events(events)
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
