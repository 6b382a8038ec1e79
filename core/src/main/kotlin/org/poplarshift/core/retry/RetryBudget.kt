package org.poplarshift.core.retry

/**
 * Limits the retries of one upstream to a share of its first attempts, so that retries cannot multiply the load on
 * workers that are already failing.
 *
 * @param share retries allowed per first attempt, 0 to 1; 0 forbids retries
 */
class RetryBudget(share: Double) {
    private var balance = if (share > 0) INITIAL_RETRIES else 0.0

    /** Retries allowed per first attempt. It changes when a new catalogue sets another value. */
    var share = share
        set(value) {
            field = value
            if (value <= 0) balance = 0.0
        }

    /** Adds [share] to the budget. Called once for each request, after its first attempt. */
    fun onFirstAttempt() {
        balance = minOf(balance + share, MAXIMUM_RETRIES)
    }

    /** Consumes one retry and returns true, or returns false if the budget is exhausted. */
    fun trySpend(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }

    private companion object {
        // Allows the requests in flight at one worker to be retried right after a start, before traffic adds budget.
        const val INITIAL_RETRIES = 10.0

        // Limits the budget that accumulates without failures, and thus the burst of retries when all workers fail.
        const val MAXIMUM_RETRIES = 100.0
    }
}
