package org.poplarshift.core.retry

/**
 * The reason why a failed request is not retried. One counter exists for each value.
 *
 * @property code the stable code in metrics and logs
 */
enum class RetryStopReason(val code: String) {
    /** A second run might repeat a side effect. */
    NOT_IDEMPOTENT("not_idempotent"),

    /** Part of the response has already been forwarded to the caller. */
    BYTES_PASSED_ON("bytes_passed_on"),

    /** The upstream's retry budget is exhausted. */
    BUDGET_SPENT("budget_spent"),

    /** The request has reached the maximum number of attempts. */
    ATTEMPTS_SPENT("attempts_spent"),

    /** Another worker would produce the same outcome, or the caller has disconnected. */
    NOT_A_WORKER_FAILURE("not_a_worker_failure"),
}
