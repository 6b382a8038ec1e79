package org.poplarshift.core.retry

/**
 * Bounds the retries of one upstream to a share of its first attempts, so that retries can't multiply the load on
 * workers that are already failing.
 *
 * @param share retries allowed per first attempt, 0 to 1; 0 forbids retries
 */
class RetryBudget(share: Double) {
    private var balance = if (share > 0) INITIAL_RETRIES else 0.0

    /** Retries allowed per first attempt; a changed catalogue may change it. */
    var share = share
        set(value) {
            field = value
            if (value <= 0) balance = 0.0
        }

    /** Adds to the budget; called once for each request, when it is first dispatched. */
    fun onFirstAttempt() {
        balance = minOf(balance + share, MAXIMUM_RETRIES)
    }

    /** Spends one retry and returns true, or returns false when the budget is used up. */
    fun trySpend(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }

    private companion object {
        // One worker's requests in flight can be retried right after a start, before there is a share of traffic.
        const val INITIAL_RETRIES = 10.0

        // Bounds what a long quiet time saves up, and with it the burst of retries when all workers fail at once.
        const val MAXIMUM_RETRIES = 100.0
    }
}
