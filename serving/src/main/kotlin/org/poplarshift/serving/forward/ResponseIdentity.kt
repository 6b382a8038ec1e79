package org.poplarshift.serving.forward

import io.vertx.core.MultiMap

/**
 * Whether a response belongs to the request that waits on its connection.
 *
 * A worker may write a response twice, or bytes of an earlier response, at the point where the next response is due. Only
 * the id tells whose response it is. It must be present exactly once and be that of the request. The head of any other
 * response is not parsed, so that nothing of it can be used: the request may have run.
 *
 * The beginning of a head that was broken off joins the head that follows it. The status is then that of the one and the
 * id that of the other, so a head must not contain a second status line.
 */
sealed interface ResponseIdentity {
    /** The response belongs to the request. */
    class Own(val head: ResponseHead) : ResponseIdentity

    /** The response belongs to another request, or it does not show that it belongs to this one. */
    data class Foreign(val reason: String, val found: String) : ResponseIdentity

    /** The response has a status that HTTP does not have, so that nothing about it can be relied on. */
    data class InvalidStatus(val status: Int) : ResponseIdentity

    companion object {
        /** The statuses that HTTP has. Callers would take another one for a fault of the node. */
        val VALID_STATUSES = 100..599
        private const val FIRST_FINAL_STATUS = 200

        /** The text that every status line begins with. */
        const val STATUS_LINE_START = "HTTP/1."

        // A gateway may state a protocol version in the header Via, which no status follows.
        private val statusLine = Regex("HTTP/1\\.\\d \\d{3}")

        /** Identifies the response with [status], [reasonPhrase] and [headers], received while [requestId] waits. */
        fun of(
            requestId: String,
            status: Int,
            reasonPhrase: String,
            headers: MultiMap,
            protocol: WorkerProtocol,
        ): ResponseIdentity {
            if (status !in VALID_STATUSES) return InvalidStatus(status)
            val ids = protocol.responseRequestIds(headers)
            val reason = when {
                status < FIRST_FINAL_STATUS -> "interim_response"
                hasSecondStatusLine(reasonPhrase, headers) -> "joined_heads"
                ids.isEmpty() -> "no_request_id"
                ids.size > 1 -> "several_request_ids"
                ids.single() != requestId -> "other_request_id"
                else -> return Own(protocol.readResponseHead(status, headers))
            }
            return Foreign(reason, "status $status, request ids $ids")
        }

        /** Identifies an interim response, which is ignored unless it names another request; returns null then. */
        fun ofInterim(
            requestId: String,
            status: Int,
            reasonPhrase: String,
            headers: MultiMap,
            protocol: WorkerProtocol,
        ): Foreign? {
            val ids = protocol.responseRequestIds(headers)
            val reason = when {
                hasSecondStatusLine(reasonPhrase, headers) -> "joined_heads"
                ids.any { it != requestId } -> "other_request_id"
                else -> return null
            }
            return Foreign(reason, "status $status, request ids $ids")
        }

        /**
         * Identifies a head inside a body; returns null if it is a part of the body, such as a quotation.
         *
         * @param ids the request ids that the head states
         * @param isDirectlyBehindText whether a character precedes the status line that ends a text and introduces no quotation
         * @param isEnded whether no more headers follow, because the head or the body ends
         */
        fun ofHeadInBody(
            statusLine: String,
            ids: List<String>,
            isDirectlyBehindText: Boolean,
            isEnded: Boolean,
        ): Foreign? {
            val isSecondResponse = ids.isNotEmpty() || (isDirectlyBehindText && isEnded)
            return if (isSecondResponse) secondResponse("$statusLine, request ids $ids") else null
        }

        /** The identity of a second response, of which [found] is known, behind the beginning of the own one. */
        fun secondResponse(found: String) = Foreign("second_response", found)

        private fun hasSecondStatusLine(reasonPhrase: String, headers: MultiMap): Boolean =
            STATUS_LINE_START in reasonPhrase ||
                headers.any { (name, value) -> STATUS_LINE_START in name || statusLine.containsMatchIn(value) }
    }
}
