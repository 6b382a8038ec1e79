package org.poplarshift.node.caller

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.node.http.ErrorResponse

/** Whose request it is. */
sealed interface AuthenticationResult {
    /** The request carries the key [key] of [organisation]. */
    data class Authenticated(val key: KeyEntry, val organisation: Organisation) : AuthenticationResult

    /** The request must not run. */
    data class Refused(val error: ErrorResponse) : AuthenticationResult
}
