package org.poplarshift.core.orders

/** What an issuer does next. */
sealed interface IssueDecision {
    /** Another node issues the upstream's orders. */
    data object NotIssuer : IssueDecision

    /** Nothing may be sent before [atMillis]. */
    data class WaitUntil(val atMillis: Long) : IssueDecision

    /** Ask the weight store for a load of [planned] first. */
    data class Reserve(val planned: OrderedWorker) : IssueDecision

    /** Send [order] now. */
    data class Send(val order: Order) : IssueDecision
}
