package org.poplarshift.core.retry

import org.poplarshift.core.catalogue.Upstream

/** Holds one [RetryBudget] for each upstream. */
class RetryBudgets {
    private val budgets = mutableMapOf<String, RetryBudget>()

    /** Returns the budget of [upstream], updated to the share in [upstream]. */
    fun budgetOf(upstream: Upstream): RetryBudget {
        val budget = budgets.getOrPut(upstream.id) { RetryBudget(upstream.retryBudgetShare) }
        if (budget.share != upstream.retryBudgetShare) budget.share = upstream.retryBudgetShare
        return budget
    }

    /** Removes the budgets of upstreams that are not in [upstreamIds]. */
    fun retain(upstreamIds: Set<String>) {
        budgets.keys.retainAll(upstreamIds)
    }
}
