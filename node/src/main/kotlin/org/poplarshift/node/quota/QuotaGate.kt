package org.poplarshift.node.quota

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.verdict.RefusalReason

/** Limits requests to the rate and burst of their organisation. */
interface QuotaGate {
    /** Consumes one token of [organisation]. May wait a short time for a token lease when this VM has no token. */
    suspend fun admit(organisation: Organisation): QuotaDecision
}

/** The outcome of admitting a request. */
sealed interface QuotaDecision {
    /** A token was consumed. */
    data object Admitted : QuotaDecision

    /** No token was consumed; the caller may retry after [retryAfterMillis] milliseconds. */
    data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : QuotaDecision
}
