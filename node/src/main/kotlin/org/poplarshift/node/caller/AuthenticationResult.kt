package org.poplarshift.node.caller

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.node.http.ErrorResponse

/** The outcome of authenticating a request. */
sealed interface AuthenticationResult {
    /** The request carries a valid [key] of [organisation]. */
    data class Authenticated(val key: KeyEntry, val organisation: Organisation) : AuthenticationResult

    /** The request must not run. */
    data class Refused(val error: ErrorResponse) : AuthenticationResult
}
