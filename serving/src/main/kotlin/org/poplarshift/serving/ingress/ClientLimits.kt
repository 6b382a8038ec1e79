package org.poplarshift.serving.ingress

/**
 * Limits of one client's connection.
 *
 * @property headMillis time within which a head must be complete after its first byte
 * @property idleMillis time for which a connection may be idle, and within which a client must have read all that was sent
 * @property headerBytes maximum size of the names and values of the fields of a head
 */
data class ClientLimits(val headMillis: Long, val idleMillis: Long, val headerBytes: Int) {
    companion object {
        /** Until a configuration is known, and for ports whose clients are part of the platform or the fleet. */
        val DEFAULT = ClientLimits(headMillis = 3_000, idleMillis = 75_000, headerBytes = 65_536)

        /** Maximum number of fields of a head. A head of 16,384 bytes, the usual limit, can't have more, as a line has 4 bytes. */
        const val MAXIMUM_FIELDS = 4_096

        /** Maximum size of the first line of a request. */
        const val REQUEST_LINE_BYTES = 16_384

        /** Number of requests on one connection from which on the next ones are decoded only after a response. */
        const val PIPELINED_REQUESTS = 8

        /** Number of unsent bytes from which on the next request of the connection is decoded only after they are read. */
        const val UNSENT_BYTES = 65_536L

        /**
         * Time after which a body must arrive at [BODY_BYTES_PER_SECOND] on average. Longer than clients wait for a
         * response.
         */
        const val BODY_GRACE_MILLIS = 10_000L

        /** Far below the rate at which a body of the greatest size arrives within any usual timeout. */
        const val BODY_BYTES_PER_SECOND = 4_096L

        /** Time for which a connection stays open after a refusal, so that the client receives it before a reset. */
        const val LINGER_MILLIS = 2_000L

        /** Time after a complete response within which the rest of the request must arrive. */
        const val LATE_BODY_MILLIS = 1_000L
    }
}

/** Why a client's connection or request is given up. The [text] is the value of the label of the counter. */
enum class ClientFault(val text: String) {
    TOO_MANY_CONNECTIONS("connections"),
    HEAD_TIMEOUT("head_timeout"),
    HEAD_TOO_LARGE("head_size"),
    TOO_MANY_FIELDS("header_fields"),
    BODY_TIMEOUT("body_timeout"),
    BODY_TOO_LARGE("body_size"),
    BODY_UNWANTED("body_after_response"),
    IDLE("idle"),
    UNREAD_RESPONSE("unread_response"),
    MEMORY("memory"),
}
