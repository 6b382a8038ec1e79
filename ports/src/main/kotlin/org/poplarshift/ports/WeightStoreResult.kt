package org.poplarshift.ports

/** The outcome of a reservation at the weight store. */
sealed interface WeightStoreResult {
    /** The weights may be loaded now. */
    data object Granted : WeightStoreResult

    /** The store's rate limit is reached; retry after [retryAfterMillis] milliseconds. */
    data class RateLimited(val retryAfterMillis: Long) : WeightStoreResult

    /** There was no response, or it had an unexpected status. */
    data class Unavailable(val reason: String) : WeightStoreResult
}
