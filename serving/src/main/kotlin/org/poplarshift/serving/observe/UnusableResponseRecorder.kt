package org.poplarshift.serving.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.poplarshift.serving.forward.ResponseIdentity
import org.poplarshift.serving.forward.WorkerConnection

/**
 * Counts the responses of workers that can't be used, by reason, and logs those that belong to no waiting request.
 *
 * A lost connection and a response to another request have the same consequence for a caller, but different causes.
 */
class UnusableResponseRecorder(private val registry: MeterRegistry) {
    /** Records that the connection to a worker was lost or silent before the response was complete. */
    fun onNoResponse(reason: String) = count(reason)

    /** Records a response on [connection] that does not belong to the request that waits on it. */
    fun onForeignResponse(connection: WorkerConnection, response: ResponseIdentity.Foreign) =
        record(connection, response.reason, response.found)

    /** Records a response on [connection] with a status that HTTP does not have. */
    fun onInvalidStatus(connection: WorkerConnection, status: Int) =
        record(connection, "invalid_status", "status $status")

    /** Records that [connection] is closed because it has received bytes that are no response. */
    fun onMalformedResponse(connection: WorkerConnection, found: String) =
        record(connection, "malformed_response", found)

    /** Records that [connection] is closed because it has received bytes while no request waited on it. */
    fun onForeignBytes(connection: WorkerConnection, found: String) = record(connection, "bytes_without_request", found)

    private fun record(connection: WorkerConnection, reason: String, found: String) {
        count(reason)
        logger.atWarn {
            message = "forward: response does not belong to the waiting request"
            payload = mapOf(
                "request" to connection.lastRequest,
                "worker" to connection.worker,
                "address" to connection.address,
                "connection" to connection.number,
                "reason" to reason,
                "found" to found.take(MAXIMUM_FOUND_LENGTH),
            )
        }
    }

    private fun count(reason: String) = registry.counter("worker_responses_unusable", "reason", reason).increment()

    private companion object {
        val logger = KotlinLogging.logger {}

        // Longer than the ids of requests. A header of a faulty worker may have any length.
        const val MAXIMUM_FOUND_LENGTH = 200
    }
}
