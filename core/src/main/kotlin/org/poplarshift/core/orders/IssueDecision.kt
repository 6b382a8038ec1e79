package org.poplarshift.core.orders

/** The next action of an [OrderIssuer]. */
sealed interface IssueDecision {
    /** Another node issues the upstream's orders. */
    data object NotIssuer : IssueDecision

    /** Wait until the monotonic time [atMillis]. */
    data class WaitUntil(val atMillis: Long) : IssueDecision

    /** Request a reservation from the weight store for the load in [planned] first. */
    data class Reserve(val planned: OrderedWorker) : IssueDecision

    /** Send [order] now. */
    data class Send(val order: Order) : IssueDecision
}
