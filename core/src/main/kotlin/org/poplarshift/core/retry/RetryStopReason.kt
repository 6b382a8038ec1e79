package org.poplarshift.core.retry

/**
 * Why a failed request is not sent again. One counter exists for each value.
 *
 * @property code the stable code in metrics and logs
 */
enum class RetryStopReason(val code: String) {
    /** A second run might repeat an effect. */
    NOT_IDEMPOTENT("not_idempotent"),

    /** The caller has received a part of the response. */
    BYTES_PASSED_ON("bytes_passed_on"),

    /** The upstream's share of retries is used up. */
    BUDGET_SPENT("budget_spent"),

    /** The request has had its maximum of attempts. */
    ATTEMPTS_SPENT("attempts_spent"),

    /** Another worker would give the same outcome, or the caller is gone. */
    NOT_A_WORKER_FAILURE("not_a_worker_failure"),
}
