package org.poplarshift.ports

/** The outcome of a reservation at the weight store. */
sealed interface WeightStoreResult {
    /** The weights may be loaded now. */
    data object Granted : WeightStoreResult

    /** The store's rate is used up; ask again after [retryAfterMillis] milliseconds. */
    data class RateLimited(val retryAfterMillis: Long) : WeightStoreResult

    /** The store gave no answer. */
    data class Unavailable(val reason: String) : WeightStoreResult
}
