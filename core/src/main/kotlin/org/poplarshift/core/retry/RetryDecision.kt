package org.poplarshift.core.retry

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** The decision after an attempt. */
sealed interface RetryDecision {
    /** The worker has responded, and the request is complete. */
    data object Complete : RetryDecision

    /** Send the request to another worker. [reason] states why the last attempt failed. */
    data class Retry(val reason: RefusalReason) : RetryDecision

    /**
     * Fail the request.
     *
     * @property reason why the last attempt failed
     * @property ran whether any attempt of the request may have run
     * @property stop why there is no further attempt
     */
    data class GiveUp(val reason: RefusalReason, val ran: RunStatus, val stop: RetryStopReason) : RetryDecision
}
