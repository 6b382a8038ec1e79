package org.poplarshift.serving.ingress

/**
 * An error response of the node itself.
 *
 * @property status HTTP status; 408, 429 and 503 guarantee that the request has not run and never will
 * @property retryMillis time in milliseconds after which the caller may retry, or null
 */
data class Refusal(val status: Int, val reason: String, val retryMillis: Long? = null) {
    companion object {
        val BAD_REQUEST = Refusal(400, "bad_request")
        val UNKNOWN_KEY = Refusal(401, "unknown_key")
        val UNKNOWN_ROUTE = Refusal(404, "unknown_route")
        val UNKNOWN_SUBMISSION = Refusal(404, "unknown_submission")
        val UNKNOWN_ITEM = Refusal(404, "unknown_item")
        val BODY_TOO_LARGE = Refusal(413, "body_too_large")
        val WAITING_TOKENS = Refusal(429, "waiting_tokens", SHORT_RETRY_MILLIS)
        val NO_CONFIGURATION = Refusal(503, "no_configuration", SHORT_RETRY_MILLIS)
        val LOG_UNAVAILABLE = Refusal(503, "log_unavailable", LOG_RETRY_MILLIS)
        val NOT_CAUGHT_UP = Refusal(503, "not_caught_up", SHORT_RETRY_MILLIS)
        val QUARANTINED = Refusal(503, "quarantined", QUARANTINE_RETRY_MILLIS)
        val UNKNOWN_STREAM_ORIGIN = Refusal(503, "stream_origin_unknown", SHORT_RETRY_MILLIS)
        val SHUTTING_DOWN = Refusal(503, "shutting_down", SHORT_RETRY_MILLIS)
        val OUTCOME_UNKNOWN = Refusal(504, "outcome_unknown")

        /** The body of the request is not complete because of [fault]. */
        fun incompleteBody(fault: ClientFault): Refusal = when (fault) {
            ClientFault.BODY_TOO_LARGE -> BODY_TOO_LARGE
            ClientFault.BODY_TIMEOUT -> Refusal(408, fault.text)
            else -> Refusal(503, fault.text, MEMORY_RETRY_MILLIS)
        }

        /** All workers are full or can't be reached. */
        fun workersUnavailable(reason: String, retryMillis: Long? = null) =
            Refusal(503, reason, retryMillis ?: WORKERS_UNAVAILABLE_RETRY_MILLIS)

        /** The organisation has exceeded its rate limit. */
        fun rateExceeded(retryMillis: Long) = Refusal(429, "rate", retryMillis)

        // Short, because another node may be able to serve the request at once.
        private const val SHORT_RETRY_MILLIS = 100L

        // A few request durations, after which some of the queued requests have ended.
        private const val WORKERS_UNAVAILABLE_RETRY_MILLIS = 200L

        // Bodies that are received now are complete or given up then.
        private const val MEMORY_RETRY_MILLIS = 1_000L

        // A request that crashes workers stays in quarantine for about two minutes.
        private const val QUARANTINE_RETRY_MILLIS = 60_000L

        // Outages of the log last for seconds, but other nodes may still reach it.
        private const val LOG_RETRY_MILLIS = 300L
    }
}
