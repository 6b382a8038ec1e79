package org.poplarshift.node.quota

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.verdict.RefusalReason

/** Admits requests within an organisation's rate and burst over all VMs. */
interface QuotaGate {
    /** Spends one token of [organisation], waiting a short time for a token lease when this VM has none. */
    suspend fun admit(organisation: Organisation): QuotaDecision
}

/** Whether a request is within its organisation's rate and burst. */
sealed interface QuotaDecision {
    /** A token was spent. */
    data object Admitted : QuotaDecision

    /** No token was spent; the caller may try again after [retryAfterMillis] milliseconds. */
    data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : QuotaDecision
}
