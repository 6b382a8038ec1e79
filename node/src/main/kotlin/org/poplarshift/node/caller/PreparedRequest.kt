package org.poplarshift.node.caller

import org.poplarshift.node.http.ErrorResponse

/** The outcome of reading and validating a request, before quota and dispatch. */
sealed interface PreparedRequest {
    /** The request may be run. */
    data class Ready(val request: OnlineRequest) : PreparedRequest

    /** The request is invalid or not permitted. */
    data class Rejected(val error: ErrorResponse) : PreparedRequest
}
