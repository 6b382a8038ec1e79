package org.poplarshift.core.retry

import org.poplarshift.core.catalogue.Upstream

/** Keeps one [RetryBudget] for each upstream. */
class RetryBudgets {
    private val budgets = mutableMapOf<String, RetryBudget>()

    /** The budget of [upstream], with the share of the catalogue in force. */
    fun budgetOf(upstream: Upstream): RetryBudget {
        val budget = budgets.getOrPut(upstream.id) { RetryBudget(upstream.retryBudgetShare) }
        if (budget.share != upstream.retryBudgetShare) budget.share = upstream.retryBudgetShare
        return budget
    }

    /** Forgets the budgets of upstreams that are not in [upstreamIds]. */
    fun retain(upstreamIds: Set<String>) {
        budgets.keys.retainAll(upstreamIds)
    }
}
