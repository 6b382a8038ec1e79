package org.poplarshift.serving.forward

import io.vertx.core.MultiMap

/** The outcome of one attempt. */
sealed interface AttemptResult {
    /** The head of a response was received. The receiver must close [attempt]. */
    class Responded(val attempt: Attempt, val head: ResponseHead, val headers: MultiMap) : AttemptResult

    /** No worker ran the request in this attempt. */
    data class NotRun(val reason: String, val retryMillis: Long? = null) : AttemptResult

    /** The request exceeds the rate limit of its organisation and was not sent. */
    data class RateExceeded(val retryMillis: Long) : AttemptResult

    /** The request has crashed several workers and was not sent. */
    data object Quarantined : AttemptResult

    /** A worker may have run the request, but no usable response was received. */
    data class MayHaveRun(val reason: String, val isTimeout: Boolean) : AttemptResult

    companion object {
        /** The reason of [NotRun] if the service has no worker that could serve the request, even after waiting. */
        const val NO_WORKER = "no_worker"
    }
}
