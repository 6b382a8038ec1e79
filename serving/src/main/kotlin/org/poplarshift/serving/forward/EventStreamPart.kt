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
     * @property isConnectionLost whether the connection to the worker was lost as well
     */
    data class BrokenOff(val reason: String, val isConnectionLost: Boolean) : EventStreamPart

    /** The worker has sent something other than a response to the request, so its events must not be used. */
    data class Invalid(val reason: String) : EventStreamPart

    /** The stream has not continued within the timeout. */
    data object TimedOut : EventStreamPart
}
