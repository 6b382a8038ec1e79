package org.poplarshift.serving.forward

/** The result of reading on in an event stream. */
sealed interface EventStreamPart {
    /** At least one complete event. */
    class Events(val events: List<StreamEvent>) : EventStreamPart

    /** The stream is complete. */
    data object Complete : EventStreamPart

    /**
     * The worker has broken the stream off.
     *
     * @property isConnectionLost whether the connection to the worker was closed as well
     */
    data class BrokenOff(val reason: String, val isConnectionLost: Boolean) : EventStreamPart

    /** No complete event was received within the timeout. */
    data object TimedOut : EventStreamPart
}

/**
 * Reads the response of one run as an event stream.
 *
 * A response without a length or chunks ends when its connection is closed, also when the worker has crashed. Such a
 * stream is complete only if it has events and ends after one of them.
 */
class EventStreamReader(private val exchange: WorkerExchange) {
    private val splitter = EventSplitter()
    private var hasEvents = false

    /** Returns the next events or the end of the stream; waits up to [timeoutMillis] for more bytes. */
    suspend fun next(timeoutMillis: Long): EventStreamPart {
        while (true) {
            when (val part = exchange.next(timeoutMillis)) {
                is ResponsePart.Bytes -> {
                    val events = splitter.add(part.bytes)
                    if (events.isEmpty()) continue
                    hasEvents = true
                    return EventStreamPart.Events(events)
                }

                is ResponsePart.ConnectionLost -> return EventStreamPart.BrokenOff(part.reason, isConnectionLost = true)
                ResponsePart.TimedOut -> return EventStreamPart.TimedOut
                ResponsePart.End -> return end()
            }
        }
    }

    private fun end(): EventStreamPart = when {
        splitter.hasPartial ->
            EventStreamPart.BrokenOff("the stream ended inside an event", exchange.endsWithConnection)

        exchange.endsWithConnection && !hasEvents ->
            EventStreamPart.BrokenOff("the stream ended without an event", isConnectionLost = true)

        else -> EventStreamPart.Complete
    }
}
