package org.poplarshift.core.verdict

import kotlinx.serialization.Serializable

/**
 * The reason why a request was refused, failed or retried. One counter exists for each value.
 *
 * @property code the stable code in error bodies, metrics and logs
 * @property status the HTTP status of the response to the caller
 * @property retryable whether the response has a `Retry-After` header
 */
@Serializable
enum class RefusalReason(val code: String, val status: Int, val retryable: Boolean = false) {
    BAD_REQUEST("bad_request", 400),
    UNKNOWN_KEY("unknown_key", 401),
    FORBIDDEN_ROUTE("forbidden_route", 403),
    UNKNOWN_ROUTE("unknown_route", 404),
    CALLER_TIMEOUT("caller_timeout", 408),
    UNKNOWN_JOB("unknown_job", 404),
    JOB_CONFLICT("job_conflict", 409),
    REQUEST_IN_PROGRESS("request_in_progress", 409),
    OUTCOME_UNKNOWN("outcome_unknown", 409),
    KEY_REUSED_WITH_OTHER_CONTENT("key_reused_with_other_content", 409),
    BODY_TOO_LARGE("body_too_large", 413),
    HEADER_TOO_LARGE("header_too_large", 413),
    QUARANTINED("quarantined", 422),
    RATE_EXCEEDED("rate_exceeded", 429, retryable = true),
    QUOTA_UNCONFIRMED("quota_unconfirmed", 503, retryable = true),
    QUEUE_FULL("queue_full", 503, retryable = true),
    QUEUE_TIMEOUT("queue_timeout", 503, retryable = true),
    NO_WORKER("no_worker", 503, retryable = true),
    NO_CONFIGURATION("no_configuration", 503, retryable = true),
    LOG_UNAVAILABLE("log_unavailable", 503, retryable = true),
    SHUTTING_DOWN("shutting_down", 503, retryable = true),
    CONNECT_FAILED("connect_failed", 502),
    CONNECTION_LOST("connection_lost", 502),
    UPSTREAM_TIMEOUT("upstream_timeout", 504),
    UPSTREAM_REFUSED("upstream_refused", 502),
    WRONG_RESPONSE("wrong_response", 502),
    KEY_WITHDRAWN("key_withdrawn", 401),
    CANCELLED("cancelled", 499),
    INTERNAL("internal", 500),
}
