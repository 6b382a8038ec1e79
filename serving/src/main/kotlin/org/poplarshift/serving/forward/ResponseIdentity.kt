package org.poplarshift.serving.forward

import io.vertx.core.MultiMap

/**
 * Whether a response belongs to the request that waits on its connection.
 *
 * A worker may write a response twice, or bytes of an earlier response, at the point where the next response is due. Only
 * the id tells whose response it is. It must be present exactly once and be that of the request. The head of any other
 * response is not parsed, so that nothing of it can be used: the request may have run.
 */
sealed interface ResponseIdentity {
    /** The response belongs to the request. */
    class Own(val head: ResponseHead) : ResponseIdentity

    /** The response belongs to another request, or it does not show that it belongs to this one. */
    data class Foreign(val reason: String, val found: String) : ResponseIdentity

    companion object {
        private const val FIRST_FINAL_STATUS = 200

        /** Identifies the response with [status] and [headers], received while [requestId] waits. */
        fun of(requestId: String, status: Int, headers: MultiMap, protocol: WorkerProtocol): ResponseIdentity {
            val ids = protocol.responseRequestIds(headers)
            val reason = when {
                status < FIRST_FINAL_STATUS -> "interim_response"
                ids.isEmpty() -> "no_request_id"
                ids.size > 1 -> "several_request_ids"
                ids.single() != requestId -> "other_request_id"
                else -> return Own(protocol.readResponseHead(status, headers))
            }
            return Foreign(reason, "status $status, request ids $ids")
        }

        /** Identifies an interim response, which is ignored unless it names another request; returns null then. */
        fun ofInterim(requestId: String, status: Int, headers: MultiMap, protocol: WorkerProtocol): Foreign? {
            val ids = protocol.responseRequestIds(headers)
            if (ids.all { it == requestId }) return null
            return Foreign("other_request_id", "status $status, request ids $ids")
        }
    }
}
