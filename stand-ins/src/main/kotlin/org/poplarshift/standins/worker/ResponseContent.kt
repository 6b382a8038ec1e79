package org.poplarshift.standins.worker

/** The responses of workers. They follow from the id of the request, so that a response to another one is recognized. */
object ResponseContent {
    private const val PLAIN_REPETITIONS = 30
    private const val MINIMUM_EVENTS = 3
    private const val EVENT_VARIATION = 20
    private val EVENT = Regex("id: (\\d+)\ndata: .* by (.*)\n\n")

    /** Body of a response that is not a stream. */
    fun plain(requestId: String): String = "response to $requestId;".repeat(PLAIN_REPETITIONS)

    /** Body of a failure. */
    fun failure(requestId: String): String = "failure of $requestId"

    /** Number of events of a stream. */
    fun eventCount(requestId: String): Int = MINIMUM_EVENTS + Math.floorMod(requestId.hashCode(), EVENT_VARIATION)

    /** Data of the event with [number], counted from 1, of a worker of [softwareVersion]. */
    fun eventData(requestId: String, number: Int, softwareVersion: String): String =
        "text $number of $requestId by $softwareVersion"

    /** Bytes of the event with [number]. */
    fun event(requestId: String, number: Int, softwareVersion: String): String =
        "id: $number\ndata: ${eventData(requestId, number, softwareVersion)}\n\n"

    /** Output of an item: the data of all events. */
    fun output(requestId: String, softwareVersion: String): String =
        (1..eventCount(requestId)).joinToString("\n") { eventData(requestId, it, softwareVersion) }

    /** Bytes of the events after [after], each of the version that [softwareVersion] returns for its number. */
    fun eventsAfter(requestId: String, after: Int, softwareVersion: (Int) -> String): String =
        (after + 1..eventCount(requestId)).joinToString("") { event(requestId, it, softwareVersion(it)) }

    /** The software versions of the whole events of [stream], by the numbers of the events. */
    fun versions(stream: String): Map<Int, String> = EVENT.findAll(stream).associate { event ->
        val (number, softwareVersion) = event.destructured
        number.toInt() to softwareVersion
    }
}
