package org.poplarshift.serving.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry

/**
 * Counts the responses of workers that can't be used, by reason, and logs those that belong to no waiting request.
 *
 * A lost connection and a response to another request have the same consequence for a caller, but different causes.
 */
class UnusableResponseRecorder(private val registry: MeterRegistry) {
    /** Records that the connection to a worker was lost or silent before the response was complete. */
    fun onNoResponse(reason: String) = count(reason)

    /**
     * Records bytes on a connection that do not belong to the request that waits on it.
     *
     * @param reason short name for the counter
     * @param found what the worker has sent instead
     */
    fun onForeignResponse(
        request: String?,
        worker: String,
        address: String,
        connection: Long,
        reason: String,
        found: String,
    ) {
        count(reason)
        logger.atWarn {
            message = "forward: response does not belong to the waiting request"
            payload = mapOf(
                "request" to request,
                "worker" to worker,
                "address" to address,
                "connection" to connection,
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
